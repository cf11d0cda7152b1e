package route

import "fmt"

// MaxPieces bounds the pieces of one stage of a request. Each takes memory at the gateway, and
// a client names their number in a few bytes.
const MaxPieces = 1024

// PieceLimitError reports a stage of which a request has more than MaxPieces pieces.
type PieceLimitError struct {
	// Stage is the index of the stage in its route, Count the number of its pieces.
	Stage, Count int
}

// Error names the stage and the bound.
func (e *PieceLimitError) Error() string {
	return fmt.Sprintf("%d pieces of stage %d, at most %d are allowed", e.Count, e.Stage, MaxPieces)
}

// CheckPieces checks the numbers of pieces that a request names. The error is a
// *PieceLimitError.
func (r *Route) CheckPieces(counts []int) error {
	for stage, count := range counts[:min(len(counts), len(r.Stages))] {
		if count > MaxPieces {
			return &PieceLimitError{Stage: stage, Count: count}
		}
	}
	return nil
}

// Graph is the dependency graph of the stages of one request. Stages without pieces are
// omitted from it.
type Graph struct {
	// Counts holds the number of pieces of each stage of the route, 0 for omitted
	// stages.
	Counts []int
	// After holds for each stage the stages in the graph whose results it needs.
	After [][]int
	// Final holds the stages whose results the model server needs.
	Final []int
}

// NewGraph returns the graph of a request with the given number of pieces for each
// stage. Missing counts are 0. A stage that depends on an omitted stage depends on that
// stage's dependencies instead.
func (r *Route) NewGraph(counts []int) Graph {
	n := len(r.Stages)
	g := Graph{Counts: make([]int, n), After: make([][]int, n)}
	copy(g.Counts, counts)
	hasSuccessor := make([]bool, n)
	for i := range r.Stages {
		if g.Counts[i] <= 0 {
			g.Counts[i] = 0
			continue
		}
		g.After[i] = r.graphDependencies(g.Counts, i, make([]bool, n))
		for _, j := range g.After[i] {
			hasSuccessor[j] = true
		}
	}
	for i := range r.Stages {
		if g.Counts[i] > 0 && !hasSuccessor[i] {
			g.Final = append(g.Final, i)
		}
	}
	return g
}

// graphDependencies returns the stages with pieces that a stage depends on, directly
// or through omitted stages. The visited stages are marked so that a cycle terminates.
func (r *Route) graphDependencies(counts []int, stage int, visited []bool) (found []int) {
	for _, j := range r.Stages[stage].After {
		if j < 0 || j >= len(counts) || j == stage || visited[j] {
			continue
		}
		visited[j] = true
		if counts[j] > 0 {
			found = append(found, j)
			continue
		}
		found = append(found, r.graphDependencies(counts, j, visited)...)
	}
	return found
}

// Empty reports whether the request has no stage to run.
func (g Graph) Empty() bool {
	return len(g.Final) == 0
}
