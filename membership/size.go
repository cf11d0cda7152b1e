package membership

import "time"

// The functions named bytes return upper bounds of the size of the protobuf encoding
// in bytes. Every field has a tag of one byte; a length or number below 128 takes
// one byte.
const (
	tagBytes = 1
	// embeddedHeaderBytes bounds the tag and length of an embedded message.
	embeddedHeaderBytes = tagBytes + 2
)

func stringBytes(s string) int { return tagBytes + varintBytes(uint64(len(s))) + len(s) }

func numberBytes[T ~int | ~int64 | ~uint64](n T) int { return tagBytes + varintBytes(uint64(n)) }

func varintBytes(n uint64) int {
	size := 1
	for n >= 1<<7 {
		n >>= 7
		size++
	}
	return size
}

func millisBytes(d time.Duration) int { return numberBytes(d.Milliseconds()) }

func (r Record) bytes() int {
	return embeddedHeaderBytes + stringBytes(r.ID) + stringBytes(r.FailureDomain) + stringBytes(r.Address) +
		numberBytes(r.Incarnation) + numberBytes(r.Counter) + numberBytes(int(r.State)) + numberBytes(r.Load) + numberBytes(r.Revision) +
		numberBytes(r.Capacity.LinkMbits) + numberBytes(r.Capacity.ProcessorMillis)
}

func (m DrainMarker) bytes() int {
	return embeddedHeaderBytes + stringBytes(m.Server) + numberBytes(m.Incarnation) + numberBytes(1) + millisBytes(m.Remaining)
}

func (s Straggler) bytes() int {
	return embeddedHeaderBytes + stringBytes(s.Server) + millisBytes(s.Remaining)
}

func (c InFlightCount) bytes() int {
	return embeddedHeaderBytes + stringBytes(c.Server) + numberBytes(c.InFlight) + numberBytes(c.Long)
}

func (d Demand) bytes() int {
	return embeddedHeaderBytes + stringBytes(d.Organisation) + numberBytes(d.MilliPerSecond)
}

func (c Contact) bytes() int { return embeddedHeaderBytes + stringBytes(c.ID) + stringBytes(c.Address) }

func (s DomainSummary) bytes() int {
	return embeddedHeaderBytes + stringBytes(s.FailureDomain) + numberBytes(s.Members) + numberBytes(s.Load) +
		numberBytes(s.Revision) + millisBytes(s.Age) + listBytes(s.Contacts) + listBytes(s.Demand)
}

func listBytes[T sized](items []T) int {
	total := 0
	for _, item := range items {
		total += item.bytes()
	}
	return total
}

// sentBytes bounds the size of Message.Sent, whose values are set when the message is sent.
const sentBytes = 2 * (tagBytes + 1 + maxMillisBytes)

// maxMillisBytes bounds the size of a time in milliseconds, in years since 1970.
const maxMillisBytes = 6

// Bytes returns an upper bound of the encoded size in bytes.
func (m Message) Bytes() int {
	return m.From.bytes() + 3*numberBytes(1) + sentBytes + millisBytes(m.StoreStateAge) + 1 + stringBytes(m.ProbeMember) + numberBytes(m.LiveMembers) + m.syncBytes() + listBytes(m.Records) +
		listBytes(m.DrainMarkers) + listBytes(m.Stragglers) + listBytes(m.InFlightCounts) + listBytes(m.ServerLimits) + listBytes(m.Demand) + listBytes(m.Summaries)
}

// syncBytes bounds the size of the request and the reply of a synchronisation.
func (m Message) syncBytes() int {
	size := 2 * (embeddedHeaderBytes + numberBytes(1))
	if m.SyncRequest != nil {
		size += stringBytes(m.SyncRequest.After)
	}
	return size
}

type sized interface{ bytes() int }

// byteBudget is the number of bytes that remain in a message.
type byteBudget struct{ remaining int }

// fill returns as many items as fit into maxBytes and the budget. It starts after
// the items that the last call with the cursor returned, so that all items take
// turns.
func fill[T sized](budget *byteBudget, maxBytes int, items []T, cursor *int) []T {
	return fillFrom(budget, maxBytes, len(items), func(i int) T { return items[i] }, cursor)
}

// fillFrom is fill for a list of n items that need not be built.
func fillFrom[T sized](budget *byteBudget, maxBytes, n int, itemAt func(int) T, cursor *int) []T {
	maxBytes = min(maxBytes, budget.remaining)
	var selected []T
	for range n {
		item := itemAt(*cursor % n)
		if item.bytes() > maxBytes {
			break
		}
		maxBytes -= item.bytes()
		budget.remaining -= item.bytes()
		selected = append(selected, item)
		*cursor = (*cursor + 1) % n
	}
	return selected
}
