package memorybudget

const (
	// requestPercent is the part of a door's connections whose requests may be passed on at
	// the same time. The others can be closed to make room, so that new requests are read
	// and refused instead of being cut off.
	requestPercent = 90
	// organisationPercent and servicePercent are the parts that the requests of one
	// organisation and those to one service may take. A service whose servers are slow or
	// send answers without end holds its requests until their deadlines.
	organisationPercent = 75
	servicePercent      = 80
)

// Purpose is what a request counts for. An empty field counts for nothing.
type Purpose struct{ Organisation, Service string }

// Shares counts the requests of clients that are passed on, by organisation and by service. It
// is not safe for concurrent use.
type Shares struct {
	max, total    int
	organisations share
	services      share
}

// share counts requests by name.
type share struct {
	max    int
	byName map[string]int
}

func newShare(connections, part int) share {
	return share{max: max(1, connections*part/percent), byName: map[string]int{}}
}

// isFull reports whether a name has no room for one more request.
func (s share) isFull(name string) bool { return name != "" && s.byName[name] >= s.max }

func (s share) add(name string) { s.byName[name]++ }

func (s share) remove(name string) {
	if s.byName[name]--; s.byName[name] == 0 {
		delete(s.byName, name)
	}
}

// NewShares returns the shares of a door.
func NewShares(d Door) *Shares {
	return &Shares{
		max:           max(1, d.Connections*requestPercent/percent),
		organisations: newShare(d.Connections, organisationPercent),
		services:      newShare(d.Connections, servicePercent),
	}
}

// Enter counts a request, and returns false when it has no room.
func (s *Shares) Enter(p Purpose) bool {
	if s.total >= s.max || s.organisations.isFull(p.Organisation) || s.services.isFull(p.Service) {
		return false
	}
	s.total++
	s.organisations.add(p.Organisation)
	s.services.add(p.Service)
	return true
}

// Leave ends the count of a request that has entered.
func (s *Shares) Leave(p Purpose) {
	s.total--
	s.organisations.remove(p.Organisation)
	s.services.remove(p.Service)
}
