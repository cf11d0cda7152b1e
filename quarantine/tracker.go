package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Tracker holds the suspect and the quarantined parts of one service. It is not safe for
// concurrent use.
type Tracker struct {
	suspects    map[string]*suspect
	quarantines map[string]*Record
	// retrialUntil holds, by part, until when one crash quarantines it again.
	retrialUntil map[string]time.Time
	answered     recentSet
	// answers counts the reports of answered parts.
	answers  int
	requests recentRequests
	// warmUntil is the end of the period in which no part is tried after a first wave.
	warmUntil time.Time
	// explained holds the ends of servers that are attributed to a quarantined part.
	explained map[ServerStart]time.Time
	// cutAt holds when the first request at a server broke off. Requests that were sent
	// later did not end the server.
	cutAt map[ServerStart]time.Time
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: map[string]*suspect{}, quarantines: map[string]*Record{}, retrialUntil: map[string]time.Time{},
		explained: map[ServerStart]time.Time{}, cutAt: map[ServerStart]time.Time{},
	}
}

// suspect is a part under which servers ended, since the last answer under it.
type suspect struct {
	// crashes are in the order of their reports, each of another server.
	crashes []suspectCrash
	// answersBefore is Tracker.answers at the first crash. An answer under the part clears
	// it, so that all later ones are answers to other requests.
	answersBefore int
	// established is true when there were answers under the part shortly before.
	established bool
	// skipsFirstTrial is true when requests with the part need no trial after the first wave.
	skipsFirstTrial bool
	// trial is the ID of the request that is on trial, until trialEnds.
	trial     string
	trialEnds time.Time
}

// suspectCrash is a crash that counts against a part.
type suspectCrash struct {
	server ServerStart
	at     time.Time
	// sentAt is when the first request with the part was sent to the server.
	sentAt time.Time
	// parts are those that all requests with the suspect part had at the server.
	parts []string
	// wave counts, from 1, the waves of crashes up to this one.
	wave int
}

// waves returns the number of waves in which servers ended under the part.
func (s *suspect) waves() int {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].wave
}

// needsTrial reports whether requests with the part run one at a time. A part that answers
// were given under shortly before its first crash is less likely to be the cause.
func (s *suspect) needsTrial() bool { return s.waves() > 1 || !s.skipsFirstTrial }

// BeginWarmUp records that the tracker receives the reports of other instances from now on.
// It drops the suspects of before, which answers at other instances may have cleared.
func (t *Tracker) BeginWarmUp(now time.Time) {
	t.warmUntil = now.Add(warmUp)
	clear(t.suspects)
}

// Check returns whether a request with a prompt is refused. Its verdict is Admitted or
// Quarantined.
func (t *Tracker) Check(now time.Time, parts []string) Decision {
	for _, q := range t.quarantines {
		if q.activeAt(now) && containsAll(parts, q.Parts) {
			return Decision{Verdict: Quarantined, Quarantine: q.ID, Remaining: q.Until.Sub(now)}
		}
	}
	return Decision{}
}

func (r *Record) activeAt(now time.Time) bool { return !r.Lifted && now.Before(r.Until) }

// Admit decides on a request that is about to be sent to a server. A request on trial holds
// the trial of its suspect parts until it is answered, its server ends or trialTimeout has
// passed.
func (t *Tracker) Admit(now time.Time, request string, parts []string) Decision {
	if d := t.Check(now, parts); d.Verdict == Quarantined {
		return d
	}
	decision := Decision{}
	var trials []*suspect
	for _, part := range parts {
		s := t.trialOf(now, part)
		if s == nil {
			continue
		}
		if s.trial != "" && s.trial != request && now.Before(s.trialEnds) {
			return Decision{Verdict: Waiting}
		}
		decision.Verdict = OnTrial
		decision.Isolate = decision.Isolate || s.waves() > 1
		trials = append(trials, s)
	}
	for _, s := range trials {
		s.trial, s.trialEnds = request, now.Add(trialTimeout)
	}
	t.requests.add(parts)
	return decision
}

// Hold has requests with the parts of one wait for HoldTime, because its server may have
// ended. Parts with recent answers are not held.
func (t *Tracker) Hold(now time.Time, request string, parts []string) {
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil {
			s = t.newSuspect(now, part)
		}
		if s.needsTrial() {
			s.trial, s.trialEnds = request, now.Add(HoldTime)
		}
	}
}

// newSuspect adds a part that is suspected for the first time.
func (t *Tracker) newSuspect(now time.Time, part string) *suspect {
	established := t.answered.contains(now, part)
	return t.addSuspect(part, &suspect{established: established, skipsFirstTrial: established || now.Before(t.warmUntil)})
}

// Withdraw ends the trial of a request that was not sent.
func (t *Tracker) Withdraw(request string, parts []string) {
	for _, part := range parts {
		if s := t.suspects[part]; s != nil {
			s.endTrial(request)
		}
	}
}

// endTrial ends the trial of a request.
func (s *suspect) endTrial(request string) {
	if s.trial == request {
		s.trial = ""
	}
}

// trialOf returns the suspect that a part is, nil when requests with it need no trial.
func (t *Tracker) trialOf(now time.Time, part string) *suspect {
	t.expireEvidence(now, part)
	s := t.suspects[part]
	if s != nil && s.needsTrial() {
		return s
	}
	if !now.Before(t.retrialUntil[part]) && !t.partlyQuarantined(now, part) {
		return nil
	}
	if s == nil {
		s = t.addSuspect(part, &suspect{})
	}
	return s
}

// partlyQuarantined reports whether a part is in a quarantine. A request that is admitted
// nevertheless lacks another part of it, so that its outcome tells which one is the cause.
func (t *Tracker) partlyQuarantined(now time.Time, part string) bool {
	for _, q := range t.quarantines {
		if q.activeAt(now) && slices.Contains(q.Parts, part) {
			return true
		}
	}
	return false
}

// Answered records that the answer to a request with these parts went on beyond its start,
// which clears them. Quarantines are narrowed to their other parts, and one without other
// parts is lifted.
func (t *Tracker) Answered(now time.Time, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.answers++
	for _, part := range parts {
		t.answered.add(now, part)
		delete(t.suspects, part)
		delete(t.retrialUntil, part)
	}
	for _, q := range t.quarantines {
		if !q.activeAt(now) {
			continue
		}
		if rest := without(q.Parts, parts); len(rest) > 0 {
			q.Parts = rest
		} else {
			q.Lifted = true
		}
	}
}

// Crashed records the end of a server under a request. It returns the quarantine that this
// begins, nil when none does.
func (t *Tracker) Crashed(now time.Time, crash Crash) *Record {
	t.expire(now)
	if t.sentTooLate(crash) || t.explain(now, crash) {
		return nil
	}
	for _, part := range crash.Parts {
		t.addCrash(now, part, crash)
	}
	if crash.Remote {
		return nil
	}
	return t.beginQuarantine(now, crash)
}

// sentTooLate reports whether a request was sent to a server that had already ended. When the
// server turns out to have ended earlier than known, the requests that are too late by that
// no longer count.
func (t *Tracker) sentTooLate(crash Crash) bool {
	ended, known := t.cutAt[crash.Server]
	if known && !crash.CutAt.Before(ended) {
		return crash.SentAt.After(ended.Add(clockTolerance))
	}
	t.cutAt[crash.Server] = crash.CutAt
	latest := crash.CutAt.Add(clockTolerance)
	t.removeCrashes(func(c suspectCrash) bool { return c.server == crash.Server && c.sentAt.After(latest) })
	return false
}

// removeCrashes removes crashes that do not count against any part, and the suspects that
// have no others.
func (t *Tracker) removeCrashes(remove func(suspectCrash) bool) {
	for part, s := range t.suspects {
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, remove)
		if before > 0 && len(s.crashes) == 0 {
			delete(t.suspects, part)
		}
	}
}

// explain reports whether the end of a server is attributed to a quarantine. That is so for
// requests with all of its parts, which were sent before it began. A request with some of
// them narrows it: the cause must be one of these.
func (t *Tracker) explain(now time.Time, crash Crash) bool {
	for _, q := range t.quarantines {
		common := intersection(q.Parts, crash.Parts)
		if !q.activeAt(now) || len(common) == 0 {
			continue
		}
		q.Parts = common
		t.attributeToQuarantine(now, crash.Server)
	}
	for _, part := range crash.Parts {
		if s := t.suspects[part]; s != nil {
			s.endTrial(crash.Request)
		}
	}
	_, explained := t.explained[crash.Server]
	return explained
}

// addCrash counts a crash against a part.
func (t *Tracker) addCrash(now time.Time, part string, crash Crash) {
	s := t.suspects[part]
	if s == nil {
		s = t.newSuspect(now, part)
	}
	s.endTrial(crash.Request)
	for i := range s.crashes {
		if known := &s.crashes[i]; known.server == crash.Server {
			known.parts = intersection(known.parts, crash.Parts)
			if crash.SentAt.Before(known.sentAt) {
				known.sentAt = crash.SentAt
			}
			return
		}
	}
	if len(s.crashes) == 0 {
		s.answersBefore = t.answers
	}
	s.crashes = append(s.crashes, suspectCrash{server: crash.Server, at: now, sentAt: crash.SentAt, parts: slices.Clone(crash.Parts), wave: s.nextWave(now, crash)})
}

// nextWave returns the wave of a crash that is reported now.
func (s *suspect) nextWave(now time.Time, crash Crash) int {
	last := s.waves()
	for _, c := range s.crashes {
		if c.wave == last && now.Sub(c.at) < waveSeparation && !crash.SentAt.After(c.at) {
			return last
		}
		if c.wave == last {
			break
		}
	}
	return last + 1
}

// beginQuarantine quarantines what the crashes of a part have in common when there are enough.
func (t *Tracker) beginQuarantine(now time.Time, crash Crash) *Record {
	var worst *suspect
	for _, part := range crash.Parts {
		if s := t.suspects[part]; s != nil && (worst == nil || len(s.crashes) > len(worst.crashes)) {
			worst = s
		}
	}
	// A part with fewer crashes than another one of the prompt is unlikely to be the cause.
	if worst == nil || len(worst.crashes) == 0 || len(t.quarantines) >= maxQuarantines {
		return nil
	}
	crashes := slices.Clone(worst.crashes)
	common := crashes[0].parts
	for _, c := range crashes {
		common = intersection(common, c.parts)
	}
	common = slices.DeleteFunc(common, func(part string) bool {
		// A part that was cleared meanwhile has fewer crashes.
		return !t.hasEnoughCrashes(now, part) || len(t.suspects[part].crashes) < len(crashes)
	})
	if len(common) == 0 {
		return nil
	}
	slices.Sort(common)
	common = common[:min(len(common), MaxParts)]
	q := &Record{ID: recordID(common, now), Parts: common, Until: now.Add(Lifetime), Crashes: len(crashes)}
	t.quarantines[q.ID] = q
	for _, c := range crashes {
		t.attributeToQuarantine(now, c.server)
	}
	return q.clone()
}

// hasEnoughCrashes reports whether there are enough crashes to quarantine a part.
func (t *Tracker) hasEnoughCrashes(now time.Time, part string) bool {
	s := t.suspects[part]
	switch {
	case s == nil || len(s.crashes) == 0:
		return false
	case now.Before(t.retrialUntil[part]):
		return true
	case s.established && now.Sub(s.crashes[0].at) < minEstablishedTime:
		return false
	}
	return len(s.crashes) >= minCrashes && s.waves() >= minWaves && t.differsFromOthers(s, part)
}

// differsFromOthers reports whether requests without a part are answered while those with it
// are not. When the service answers nothing, its parts have crashes in common that none of
// them caused.
func (t *Tracker) differsFromOthers(s *suspect, part string) bool {
	others := t.answers - s.answersBefore
	share := t.requests.share(part)
	if s.established {
		return float64(others)*share >= answersPerPart
	}
	return others > 0 || share <= maxUnansweredShare
}

// attributeToQuarantine attributes the end of a server to a quarantine, so that it counts against
// no other part.
func (t *Tracker) attributeToQuarantine(now time.Time, server ServerStart) {
	t.explained[server] = now
	t.removeCrashes(func(c suspectCrash) bool { return c.server == server })
}

// addSuspect adds a suspect. When there are too many, the one with the fewest crashes is
// dropped, the oldest of these.
func (t *Tracker) addSuspect(part string, s *suspect) *suspect {
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, t.leastSuspect())
	}
	t.suspects[part] = s
	return s
}

func (t *Tracker) leastSuspect() (least string) {
	var chosen *suspect
	for part, s := range t.suspects {
		if chosen == nil || s.less(chosen) {
			least, chosen = part, s
		}
	}
	return least
}

// less reports whether there is less evidence against s than against other.
func (s *suspect) less(other *suspect) bool {
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) < len(other.crashes)
	}
	return len(s.crashes) > 0 && s.crashes[len(s.crashes)-1].at.Before(other.crashes[len(other.crashes)-1].at)
}

// expireEvidence drops the crashes of a part that are too old to count.
func (t *Tracker) expireEvidence(now time.Time, part string) {
	s := t.suspects[part]
	if s == nil || len(s.crashes) == 0 {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c suspectCrash) bool { return now.Sub(c.at) >= evidenceLifetime })
	if len(s.crashes) == 0 {
		delete(t.suspects, part)
	}
}

// expire drops what no longer counts. The parts of quarantines that have ended
// run as trials for retrialPeriod.
func (t *Tracker) expire(now time.Time) {
	for part := range t.suspects {
		t.expireEvidence(now, part)
	}
	for id, q := range t.quarantines {
		if now.Before(q.Until) {
			continue
		}
		delete(t.quarantines, id)
		if q.Lifted {
			continue
		}
		for _, part := range q.Parts {
			t.retrialUntil[part] = q.Until.Add(retrialPeriod)
		}
	}
	maps.DeleteFunc(t.retrialUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.cutAt, func(_ ServerStart, at time.Time) bool { return now.Sub(at) >= evidenceLifetime })
	maps.DeleteFunc(t.explained, func(_ ServerStart, at time.Time) bool { return now.Sub(at) >= evidenceLifetime })
}
