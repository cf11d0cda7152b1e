package route

// SharedByPriorities reports whether requests of different priorities use a stage service.
func (t *Table) SharedByPriorities(service string) bool {
	used, first := false, 0
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, stage := range r.Stages {
			if stage.Service != service {
				continue
			}
			if used && r.Priority != first {
				return true
			}
			used, first = true, r.Priority
		}
	}
	if !used {
		return false
	}
	for i := range t.Organisations {
		if t.Organisations[i].HasPriority {
			return true
		}
	}
	return false
}
