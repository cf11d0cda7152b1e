package route

// SharedByPriorities reports whether requests of different priorities use a stage service.
func (t *Table) SharedByPriorities(service string) bool {
	first := -1
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, stage := range r.Stages {
			if stage.Service != service {
				continue
			}
			if first >= 0 && r.Priority != first {
				return true
			}
			first = r.Priority
		}
	}
	if first < 0 {
		return false
	}
	for i := range t.Organisations {
		if t.Organisations[i].HasPriority {
			return true
		}
	}
	return false
}
