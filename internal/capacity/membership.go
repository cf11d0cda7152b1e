package capacity

const (
	// warmUpRounds is enough for all instances to discover each other.
	warmUpRounds   = 15
	measuredRounds = 10
	// maxReplacementRounds is the most rounds to wait until a replaced failure domain
	// has converged.
	maxReplacementRounds = 60
)

// domainsByFleetSize is the number of failure domains of a fleet, by its number of
// instances.
var domainsByFleetSize = map[int]int{3: 1, 9: 3, 40: 6, 130: 12, targetInstances: targetDomains}

func membershipSweeps() []sweep {
	fleets := []int{3, 9, 40, 130, targetInstances}
	return []sweep{
		{role: RoleMembership, per: "instance", sizes: fleets, target: targetInstances, setUp: setUpFleets},
		{
			role: RoleMembership, per: "failure domain of 130 instances", sizes: []int{1, 6, targetDomains},
			target: targetDomains, singleRun: true, setUp: withoutState(measureDomains),
		},
		{
			role: RoleMembership, per: "instance of a replaced failure domain of six", sizes: []int{3, 6, 12, 22},
			target: 22, singleRun: true, setUp: withoutState(measureReplacement),
		},
	}
}

// warmFleet is a fleet whose instances have discovered each other.
type warmFleet struct {
	*gossipSimulation
	// stateBytes is the memory of all instances together.
	stateBytes float64
}

// setUpFleets returns a measure function that builds each fleet once and uses it for
// all repetitions.
func setUpFleets() (func(int) ([]figure, error), func(), error) {
	fleets := map[int]warmFleet{}
	measure := func(instances int) ([]figure, error) {
		if _, ok := fleets[instances]; !ok {
			fleet, err := newWarmFleet(instances, domainsByFleetSize[instances])
			if err != nil {
				return nil, err
			}
			fleets[instances] = fleet
		}
		return fleets[instances].measureSteadyState(instances)
	}
	return measure, func() {}, nil
}

func newWarmFleet(instances, domains int) (warmFleet, error) {
	stateBytes, g, err := retained(func() (*gossipSimulation, error) {
		g := newGossipSimulation(instances, domains)
		return g, g.runRounds(warmUpRounds)
	})
	return warmFleet{g, stateBytes}, err
}

func measureDomains(domains int) ([]figure, error) {
	const instances = 130
	fleet, err := newWarmFleet(instances, domains)
	if err != nil {
		return nil, err
	}
	return fleet.measureSteadyState(instances)
}

// measureSteadyState measures heartbeats while no instance joins or leaves, and then
// how long a new revision takes to reach all instances.
func (g warmFleet) measureSteadyState(instances int) ([]figure, error) {
	g.takeTraffic()
	took, err := processorTime(func() error { return g.runRounds(measuredRounds) })
	if err != nil {
		return nil, err
	}
	all, largest := g.takeTraffic()
	revisionRounds, err := g.publish()
	instanceSeconds := float64(measuredRounds * instances)
	return []figure{
		{"messages sent by an instance", "1/s", float64(all.messages) / instanceSeconds},
		{"bytes sent by an instance", "B/s", float64(all.bytes) / instanceSeconds},
		{"bytes sent by the busiest instance", "B/s", float64(largest) / measuredRounds},
		{"processor time of an instance", "us/s", float64(took.Microseconds()) / instanceSeconds},
		{"state of an instance", "B", g.stateBytes / float64(instances)},
		{"time until a new revision is known everywhere", "s", float64(revisionRounds)},
	}, err
}

// measureReplacement replaces all instances of one failure domain at the same time
// and measures how long the new ones need to discover each other.
func measureReplacement(perDomain int) ([]figure, error) {
	const domains = 6
	g := newGossipSimulation(perDomain*domains, domains)
	if err := g.runRounds(warmUpRounds); err != nil {
		return nil, err
	}
	g.replaceDomain(0)
	g.takeTraffic()
	largest, rounds := 0, 0
	start := g.now
	for rounds < maxReplacementRounds && (rounds == 0 || g.countWrongViews(0) > 0) {
		if err := g.runRounds(1); err != nil {
			return nil, err
		}
		_, busiest := g.takeTraffic()
		largest = max(largest, busiest)
		rounds++
	}
	return []figure{
		{"time until the new members see exactly each other", "s", g.now.Sub(start).Seconds()},
		{"bytes sent by the busiest instance in one second", "B", float64(largest)},
		{"instances with a wrong view at the end", "instances", float64(g.countWrongViews(0))},
	}, nil
}
