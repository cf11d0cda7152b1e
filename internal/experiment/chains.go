package experiment

import (
	"fmt"
	"time"
)

// policyStagesAlone has each stage's queue decide by itself, by due time.
const policyStagesAlone = "each stage alone"

// chainBursts are the bursts of the chains experiment: factors of the rates of the urgent
// kind and of the kind with large results.
var chainBursts = [][2]float64{{2.8, 1}, {1, 2.8}, {1.7, 1.7}}

// chains sends requests with three stages of an urgent kind together with requests of a less
// urgent kind for one stage with large results, through bursts that exceed the servers'
// capacity or their memory for results.
var chains = scenario{
	policies: []string{PolicyColtsfootdrift, policyStagesAlone},
	figures:  []string{"urgent on time", "large on time", "least urgent on time", "urgent refused", "refused", "refused after work", "refused after s"},
	goals: []Goal{
		{Figure: "urgent on time to stages alone", AtLeast: true, Bound: 1},
		{Figure: "large on time to stages alone", AtLeast: true, Bound: 1},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		p := chainPolicy{byPriority: true, wholeChain: true, spreadReturns: true}
		switch policy {
		case PolicyColtsfootdrift:
		case policyStagesAlone:
			p = chainPolicy{}
		default:
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		total := make([]chainFigures, len(chainKinds(1, 1)))
		for _, burst := range chainBursts {
			for i, f := range simulateChains(p, chainKinds(burst[0], burst[1]), seed) {
				total[i].add(f)
			}
		}
		return chainReport(total), nil
	},
	derive: func(byPolicy map[string]map[string]float64) {
		own, alone := byPolicy[PolicyColtsfootdrift], byPolicy[policyStagesAlone]
		for _, kind := range []string{"urgent", "large"} {
			own[kind+" on time to stages alone"] = own[kind+" on time"] / alone[kind+" on time"]
		}
	},
}

func (f *chainFigures) add(other chainFigures) {
	f.all += other.all
	f.onTime += other.onTime
	f.late += other.late
	f.refused += other.refused
	f.refusedAfterWork += other.refusedAfterWork
	f.totalRefusalDelay += other.totalRefusalDelay
}

func chainReport(kinds []chainFigures) map[string]float64 {
	share := func(n, all int) float64 { return float64(n) / float64(max(1, all)) }
	var sum chainFigures
	for _, f := range kinds {
		sum.add(f)
	}
	return map[string]float64{
		"urgent on time":       share(kinds[0].onTime, kinds[0].all),
		"large on time":        share(kinds[1].onTime, kinds[1].all),
		"least urgent on time": share(kinds[2].onTime, kinds[2].all),
		"urgent refused":       share(kinds[0].refused, kinds[0].all),
		"refused":              share(sum.refused, sum.all),
		"refused after work":   share(sum.refusedAfterWork, sum.all),
		"refused after s":      (sum.totalRefusalDelay / time.Duration(max(1, sum.refused))).Seconds(),
	}
}
