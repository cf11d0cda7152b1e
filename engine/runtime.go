package engine

import "time"

const (
	// initialTokenTime is the expected time for an output token before the first report.
	initialTokenTime = 10 * time.Millisecond
	// defaultOutputTokens is the expected output of a request that doesn't say.
	defaultOutputTokens = 128
	// runTimeWeight is the weight of the newest run in the moving averages of a kind.
	runTimeWeight = 0.1
	// maxRunKinds bounds the kinds whose run times are recorded; others share one record.
	maxRunKinds = 256
	// minPacedEvents is the least number of events by which the pace of a server is measured.
	minPacedEvents = 4
	// paceWeight is the weight of the newest run in the pace of a server, and servicePaceWeight
	// in that of the service.
	paceWeight        = 0.3
	servicePaceWeight = 0.03
	// paceTTL is how long the pace of a server counts without a new run. A server that got no
	// requests because it was slow is tried again then.
	paceTTL = 5 * time.Second
	// A server counts as at least minSlowness and at most maxSlowness times as slow as the
	// mean of its service.
	minSlowness = 0.5
	maxSlowness = 6.0
)

// runTimes are moving averages of the runs of one kind. The mean of a kind and the length that
// a request says have equal weight, because the latter is often far off.
type runTimes struct{ duration, outputTokens float64 }

// observe adds a complete run.
func (r *runTimes) observe(outputTokens int, took time.Duration) {
	if r.outputTokens == 0 {
		r.duration, r.outputTokens = float64(took), float64(outputTokens)
		return
	}
	r.duration += runTimeWeight * (float64(took) - r.duration)
	r.outputTokens += runTimeWeight * (float64(outputTokens) - r.outputTokens)
}

// expected returns the expected duration of a run.
func (r *runTimes) expected(outputTokens int) time.Duration {
	if r.outputTokens == 0 {
		return time.Duration(outputTokens) * initialTokenTime
	}
	scaled := r.duration * float64(outputTokens) / r.outputTokens
	return time.Duration((r.duration + scaled) / 2)
}

// pace is a moving average of the time between events.
type pace struct {
	gap time.Duration
	at  time.Time
}

func (p *pace) observe(now time.Time, gap time.Duration, weight float64) {
	if p.gap == 0 {
		p.gap = gap
	}
	p.gap += time.Duration(weight * float64(gap-p.gap))
	p.at = now
}

// outputTokens returns the expected number of output tokens of a run.
func (r Run) outputTokens() int {
	if r.OutputTokens > 0 {
		return r.OutputTokens
	}
	return defaultOutputTokens
}

// RunReport is what a report says of the run itself.
type RunReport struct {
	// Run is that of the query.
	Run Run
	// Ended is true for the report at the end of a run, which has no Report.Delay. Complete is
	// true when its stream was; it then had Events within the time Took after its first event.
	Ended, Complete bool
	Took            time.Duration
	Events          int
	// Load is what the server said of its load in the answer; nil without it.
	Load *Load
}

// serverRuns is what is known of the runs at one server.
type serverRuns struct {
	ledger ledger
	pace   pace
}

// serviceRuns is what is known of the runs at all servers of a service: their times by kind,
// and the pace of their events.
type serviceRuns struct {
	runTimes map[string]*runTimes
	pace     pace
	// expiredAt is when runs without a report of their end were last looked for.
	expiredAt time.Time
}

func newServiceRuns() serviceRuns { return serviceRuns{runTimes: map[string]*runTimes{}} }

// runTimesOf returns the averages of a kind.
func (s *Scheduler) runTimesOf(kind string) *runTimes {
	known := s.runTimes[kind]
	if known == nil && kind != "" && len(s.runTimes) >= maxRunKinds {
		kind = ""
		known = s.runTimes[kind]
	}
	if known == nil {
		known = &runTimes{}
		s.runTimes[kind] = known
	}
	return known
}

// runDuration returns the expected duration of a run at a server from its first event on.
func (s *Scheduler) runDuration(c *serverState, now time.Time, r Run) time.Duration {
	return time.Duration(s.slowness(c, now) * float64(s.runTimesOf(r.Kind).expected(r.outputTokens())))
}

// slowness returns the time that a server needs for an event relative to the mean of its
// service; 1 when unknown.
func (s *Scheduler) slowness(c *serverState, now time.Time) float64 {
	if c.pace.gap == 0 || s.pace.gap == 0 || now.Sub(c.pace.at) > paceTTL {
		return 1
	}
	return min(maxSlowness, max(minSlowness, float64(c.pace.gap)/float64(s.pace.gap)))
}

// endRun removes a run from a server. One that is not recorded there began before this
// scheduler placed prompts, or its caller did not receive the placement and chose another
// server. One of those that the server reported ends instead, and the run at any other server.
func (s *Scheduler) endRun(c *serverState, now time.Time, id string) {
	c.cancelWork(now, c.ledger.runs[id])
	if c.ledger.remove(id) {
		return
	}
	c.ledger.remove(c.ledger.firstToEnd(isUnnamed))
	for _, other := range s.servers {
		if other.ledger.remove(id) {
			return
		}
	}
}

// recordRunReport corrects the ledger of a server and the estimates by a report.
func (s *Scheduler) recordRunReport(c *serverState, now time.Time, r Report) {
	if !c.hasLedger() {
		return
	}
	if r.Failed || r.Refused || r.Ended {
		s.endRun(c, now, r.Run.ID)
	}
	if r.Load != nil {
		s.recordLoad(c, now, *r.Load)
	}
	if !r.Complete || r.Took <= 0 {
		return
	}
	s.runTimesOf(r.Run.Kind).observe(r.Run.outputTokens(), r.Took)
	if r.Run.Kind != "" {
		s.runTimesOf("").observe(r.Run.outputTokens(), r.Took)
	}
	if r.Events >= minPacedEvents {
		gap := r.Took / time.Duration(r.Events-1)
		c.pace.observe(now, gap, paceWeight)
		s.pace.observe(now, gap, servicePaceWeight)
	}
}
