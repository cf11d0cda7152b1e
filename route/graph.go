package route

// Graph is the stages that run for one request, without those that it omits.
type Graph struct {
	// Counts holds the number of pieces of each stage of the route, 0 for
	// omitted ones.
	Counts []int
	// After holds for each stage the stages that run and whose results it takes.
	After [][]int
	// Final holds the stages whose results the model server takes.
	Final []int
}

// NewGraph returns the graph of a request with the given numbers of pieces.
// Missing counts are taken as 0. An omitted stage is replaced by those that it
// follows.
func (r *Route) NewGraph(counts []int) Graph {
	n := len(r.Stages)
	g := Graph{Counts: make([]int, n), After: make([][]int, n)}
	copy(g.Counts, counts)
	followed := make([]bool, n)
	for i := range r.Stages {
		if g.Counts[i] <= 0 {
			g.Counts[i] = 0
			continue
		}
		g.After[i] = r.running(g.Counts, i, make([]bool, n))
		for _, j := range g.After[i] {
			followed[j] = true
		}
	}
	for i := range r.Stages {
		if g.Counts[i] > 0 && !followed[i] {
			g.Final = append(g.Final, i)
		}
	}
	return g
}

// running returns the running stages that a stage follows. Seen marks the stages
// that were visited, so that a cycle ends.
func (r *Route) running(counts []int, stage int, seen []bool) (found []int) {
	for _, j := range r.Stages[stage].After {
		if j < 0 || j >= len(counts) || j == stage || seen[j] {
			continue
		}
		seen[j] = true
		if counts[j] > 0 {
			found = append(found, j)
			continue
		}
		found = append(found, r.running(counts, j, seen)...)
	}
	return found
}

// Empty reports whether no stage runs.
func (g Graph) Empty() bool {
	return len(g.Final) == 0
}
