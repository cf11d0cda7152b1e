package ratelimit

import (
	"math"
	"time"
)

// ColdPeriod is a time in which a server that has just started takes few requests, as its
// registration says. Every instance learns of it from there, so periods are not exchanged like
// entries.
type ColdPeriod struct {
	// Server is the ID of the server.
	Server string
	// Incarnation is that of the server.
	Incarnation int64
	// Number counts the periods of one incarnation; 0 when another instance reported it.
	Number int
	// Rate is the number of requests per second that all instances together may send.
	Rate Rate
	// Until is the expected end.
	Until time.Time
}

// CutOffShare is the share of a limit that the other regions together may use when they reach no
// instance of the server's region.
const CutOffShare = 0.5

// rateResolution is the resolution of SafeRate.
const rateResolution Rate = 0.01

// SafeRate returns the highest rate whose permits in any one second stay within a bound while
// several allocators give them out, each with its burst. It is at least MinRate.
func SafeRate(bound float64) Rate {
	low, high := MinRate, max(MinRate, Rate(bound))
	for high-low > rateResolution {
		if middle := (low + high) / 2; mostPermits(middle) <= bound {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// mostPermits returns how many permits at a rate may be given out in one second by the owner,
// its successor, and a region that is cut off from both.
func mostPermits(rate Rate) (n float64) {
	for _, concurrent := range [...]Rate{rate, handoverRate(rate), CutOffShare * rate} {
		perSecond := float64(concurrent)
		n += perSecond + maxTokens(perSecond)
	}
	return n
}

// SetCold records a cold period and reports whether it is new. The end of a known one may have
// been corrected since, so it is not set again.
func (t *Table) SetCold(p ColdPeriod) bool {
	known, ok := t.cold[p.Server]
	if ok && (known.Incarnation > p.Incarnation || known.Incarnation == p.Incarnation && known.Number >= p.Number) {
		return false
	}
	if !ok && len(t.cold) >= maxEntries {
		return false
	}
	t.cold[p.Server] = p
	return true
}

// ReportCold records a cold period that another instance knows. One that ends about when a
// known one does, or did, is the same.
func (t *Table) ReportCold(p ColdPeriod) bool {
	known, ok := t.cold[p.Server]
	if ok && known.Incarnation == p.Incarnation && p.Until.After(known.Until.Add(settleTime)) {
		t.cold[p.Server] = p
		return true
	}
	return t.SetCold(p)
}

// EndCold ends a period before its expected end, because the server's registration says that it
// is not cold. It reports whether one was running. A period that another instance reported is
// newer than that registration.
func (t *Table) EndCold(now time.Time, server string) bool {
	known, ok := t.cold[server]
	if !ok || known.Number == 0 || !now.Before(known.Until) {
		return false
	}
	known.Until = now
	t.cold[server] = known
	return true
}

// Cold returns the running cold period of a server.
func (t *Table) Cold(now time.Time, server string) (ColdPeriod, bool) {
	p, ok := t.cold[server]
	return p, ok && now.Before(p.Until)
}

// ColdServers returns the number of servers that are cold.
func (t *Table) ColdServers(now time.Time) (n int) {
	for id := range t.cold {
		if _, cold := t.Cold(now, id); cold {
			n++
		}
	}
	return n
}

// coldLimit returns the rate that applies to a server because it is or was cold.
func (t *Table) coldLimit(now time.Time, server string) (Rate, bool) {
	p, known := t.cold[server]
	if !known {
		return 0, false
	}
	if now.Before(p.Until) {
		return p.Rate, true
	}
	return rampedRate(p.Rate, now.Sub(p.Until))
}

// rampedRate returns the rate that applies some time after the end of a limit.
func rampedRate(rate Rate, sinceEnd time.Duration) (Rate, bool) {
	if sinceEnd >= rampTime {
		return 0, false
	}
	return rate * Rate(math.Exp2(1+sinceEnd.Seconds()/rampStep.Seconds())), true
}
