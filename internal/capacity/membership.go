package capacity

const (
	// warmUpRounds is enough for all instances to know each other.
	warmUpRounds   = 15
	measuredRounds = 10
	// maxReplaceRounds bounds the wait after a failure domain was replaced.
	maxReplaceRounds = 60
)

// domainsOf is the number of failure domains of a fleet.
var domainsOf = map[int]int{3: 1, 9: 3, 40: 6, 130: 12, targetInstances: targetDomains}

func membershipSweeps() []sweep {
	fleets := []int{3, 9, 40, 130, targetInstances}
	return []sweep{
		{role: RoleMembership, per: "instance", sizes: fleets, target: targetInstances, prepare: prepareFleets},
		{
			role: RoleMembership, per: "failure domain of 130 instances", sizes: []int{1, 6, targetDomains},
			target: targetDomains, once: true, prepare: fixed(measureDomains),
		},
		{
			role: RoleMembership, per: "instance of a replaced failure domain of six", sizes: []int{3, 6, 12, 22},
			target: 22, once: true, prepare: fixed(measureReplacement),
		},
	}
}

// warmFleet is a fleet whose instances know each other.
type warmFleet struct {
	*gossip
	state float64
}

// prepareFleets keeps each fleet for the repetitions.
func prepareFleets() (func(int) ([]figure, error), func(), error) {
	fleets := map[int]warmFleet{}
	measure := func(instances int) ([]figure, error) {
		if _, ok := fleets[instances]; !ok {
			fleet, err := newWarmFleet(instances, domainsOf[instances])
			if err != nil {
				return nil, err
			}
			fleets[instances] = fleet
		}
		return fleets[instances].steady(instances)
	}
	return measure, func() {}, nil
}

func newWarmFleet(instances, domains int) (warmFleet, error) {
	state, g, err := retained(func() (*gossip, error) {
		g := newGossip(instances, domains)
		return g, g.rounds(warmUpRounds)
	})
	return warmFleet{g, state}, err
}

func measureDomains(domains int) ([]figure, error) {
	const instances = 130
	fleet, err := newWarmFleet(instances, domains)
	if err != nil {
		return nil, err
	}
	return fleet.steady(instances)
}

// steady measures heartbeats while no instance comes or goes, and then how long a
// new revision takes to reach all.
func (g warmFleet) steady(instances int) ([]figure, error) {
	g.total()
	took, err := processorTime(func() error { return g.rounds(measuredRounds) })
	if err != nil {
		return nil, err
	}
	all, largest := g.total()
	revision, err := g.publish()
	seconds := float64(measuredRounds * instances)
	return []figure{
		{"messages sent by an instance", "1/s", float64(all.messages) / seconds},
		{"bytes sent by an instance", "B/s", float64(all.bytes) / seconds},
		{"bytes sent by the busiest instance", "B/s", float64(largest) / measuredRounds},
		{"processor time of an instance", "us/s", float64(took.Microseconds()) / seconds},
		{"state of an instance", "B", g.state / float64(instances)},
		{"time until a new revision is known everywhere", "s", float64(revision)},
	}, err
}

// measureReplacement replaces a whole failure domain at once.
func measureReplacement(perDomain int) ([]figure, error) {
	const domains = 6
	g := newGossip(perDomain*domains, domains)
	if err := g.rounds(warmUpRounds); err != nil {
		return nil, err
	}
	g.replaceDomain(0)
	g.total()
	largest, rounds := 0, 0
	begin := g.now
	for rounds < maxReplaceRounds && (rounds == 0 || g.wrongViews(0) > 0) {
		if err := g.rounds(1); err != nil {
			return nil, err
		}
		_, busiest := g.total()
		largest = max(largest, busiest)
		rounds++
	}
	return []figure{
		{"time until the new members see exactly each other", "s", g.now.Sub(begin).Seconds()},
		{"bytes sent by the busiest instance in one second", "B", float64(largest)},
		{"instances with a wrong view at the end", "instances", float64(g.wrongViews(0))},
	}, nil
}
