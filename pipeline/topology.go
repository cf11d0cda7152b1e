package pipeline

import "fmt"

// CycleError reports stages whose dependencies form a cycle.
type CycleError struct {
	Pipeline string
	Stages   []string
}

func (e *CycleError) Error() string {
	return fmt.Sprintf("pipeline %q: stages %q form a cycle", e.Pipeline, e.Stages)
}

// Predecessors returns the names of the stages whose results stage i reads. It is
// empty for a stage that reads the body of the request.
func (p *Pipeline) Predecessors(i int) []string {
	if len(p.Stages[i].After) > 0 {
		return p.Stages[i].After
	}
	if i == 0 {
		return nil
	}
	return []string{p.Stages[i-1].Name}
}

// TopologicalOrder returns the indices of the stages, sorted so that each stage
// follows its predecessors. It returns a *CycleError when there is no such order.
func (p *Pipeline) TopologicalOrder() ([]int, error) {
	done := make(map[string]bool, len(p.Stages))
	order := make([]int, 0, len(p.Stages))
	for len(order) < len(p.Stages) {
		next, ok := p.nextReady(done)
		if !ok {
			return nil, &CycleError{Pipeline: p.Name, Stages: p.remaining(done)}
		}
		done[p.Stages[next].Name] = true
		order = append(order, next)
	}
	return order, nil
}

// nextReady returns the first stage that is not done and whose predecessors are.
func (p *Pipeline) nextReady(done map[string]bool) (int, bool) {
	for i, stage := range p.Stages {
		if !done[stage.Name] && allDone(p.Predecessors(i), done) {
			return i, true
		}
	}
	return 0, false
}

func allDone(names []string, done map[string]bool) bool {
	for _, name := range names {
		if !done[name] {
			return false
		}
	}
	return true
}

// remaining returns the names of the stages that are not done.
func (p *Pipeline) remaining(done map[string]bool) []string {
	var names []string
	for _, stage := range p.Stages {
		if !done[stage.Name] {
			names = append(names, stage.Name)
		}
	}
	return names
}
