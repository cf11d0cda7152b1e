package routing

import "time"

// Transfer is the choice between moving a KV cache to another server and
// computing it again there.
type Transfer struct {
	// Bytes is the size of the cache; 0 when unknown.
	Bytes int64
	// BytesPerSecond is the measured rate between the two servers; 0 when unknown.
	BytesPerSecond float64
	RoundTrip      time.Duration
	// Tokens is the length of the cached prefix.
	Tokens int
	// TimePerToken is the measured time to compute one token of the prefix.
	TimePerToken time.Duration
	// CrossesLink is true between regions.
	CrossesLink bool
	// LinkAllows is true when the link budget has room for all bytes.
	LinkAllows bool
}

// transferMargin is the factor by which a transfer must be cheaper, because
// cache events are late and the cache may be gone.
const transferMargin = 2

// Pays reports whether the transfer is worth it. Anything unknown is a no.
func (t Transfer) Pays() bool {
	if t.Bytes <= 0 || t.BytesPerSecond <= 0 || t.Tokens <= 0 || t.TimePerToken <= 0 {
		return false
	}
	if t.CrossesLink && !t.LinkAllows {
		return false
	}
	move := t.RoundTrip.Seconds() + float64(t.Bytes)/t.BytesPerSecond
	compute := float64(t.Tokens) * t.TimePerToken.Seconds()
	return move*transferMargin < compute
}
