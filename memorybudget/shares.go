package memorybudget

const (
	// requestPercent is the part of a door's connections whose requests may be passed on at
	// the same time. The others can be closed to make room, so that new requests are read
	// and refused instead of being cut off.
	requestPercent = 90
	// organisationPercent is the part that the requests of one organisation may take.
	organisationPercent = 75
)

// Shares counts the requests of clients that are passed on, by organisation. It is not safe
// for concurrent use.
type Shares struct {
	max, maxOfOne, total int
	byOrganisation       map[string]int
}

// NewShares returns the shares of a door.
func NewShares(d Door) *Shares {
	return &Shares{
		max: max(1, d.Connections*requestPercent/percent), maxOfOne: max(1, d.Connections*organisationPercent/percent),
		byOrganisation: map[string]int{},
	}
}

// Enter counts a request, and returns false when it has no room. Requests without an
// organisation share the room of the door.
func (s *Shares) Enter(organisation string) bool {
	if s.total >= s.max || organisation != "" && s.byOrganisation[organisation] >= s.maxOfOne {
		return false
	}
	s.total++
	s.byOrganisation[organisation]++
	return true
}

// Leave ends the count of a request that has entered.
func (s *Shares) Leave(organisation string) {
	s.total--
	if s.byOrganisation[organisation]--; s.byOrganisation[organisation] == 0 {
		delete(s.byOrganisation, organisation)
	}
}
