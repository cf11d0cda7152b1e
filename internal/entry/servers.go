package entry

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
)

// Servers holds the live backend servers by pool and picks one at random.
type Servers struct {
	mu    sync.Mutex
	pools map[string][]backend.Server
}

// Update replaces the servers by those of the instance list.
func (s *Servers) Update(members []platform.Member) {
	pools := map[string][]backend.Server{}
	for _, member := range members {
		if member.Role == platform.RoleBackend && member.State == platform.StateLive {
			pools[member.Pool] = append(pools[member.Pool], server(member))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = pools
}

func server(member platform.Member) backend.Server {
	return backend.Server{
		ID:            member.ID,
		Address:       member.Address,
		Pool:          member.Pool,
		Region:        member.Region,
		FailureDomain: member.FailureDomain,
		Incarnation:   member.Incarnation,
	}
}

// Pick returns a random server of the pool that is not excluded.
func (s *Servers) Pick(query Query) (Picked, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []backend.Server
	for _, candidate := range s.pools[query.Pool] {
		if !slices.Contains(query.Excluded, candidate.ID) {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return randomPick{candidates[rand.IntN(len(candidates))]}, true
}

// randomPick is a server whose load is not tracked.
type randomPick struct {
	server backend.Server
}

func (p randomPick) Server() backend.Server { return p.server }
func (p randomPick) FirstByte()             {}
func (p randomPick) Done(error, int64)      {}
