// Package peer implements the communication between instances: heartbeats over UDP
// and a twirp service for calls that need an answer.
package peer

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// Encode encodes a message as a datagram.
func Encode(m membership.Message) ([]byte, error) {
	heartbeat := &peerpb.Heartbeat{From: encodeRecord(m.From), Urgent: m.Urgent, WantsAnswer: m.WantsAnswer,
		ProbeMember: m.ProbeMember, StoreContact: m.StoreContact, StoreReceiving: m.StoreReceiving, LiveMembers: int64(m.LiveMembers),
		StoreStateAgeMs: m.StoreStateAge.Milliseconds(), ProcessStartedMs: m.Sent.Started, SentAfterMs: m.Sent.Elapsed.Milliseconds()}
	if m.SyncRequest != nil {
		heartbeat.SyncRequest = &peerpb.SyncRequest{After: m.SyncRequest.After}
	}
	if m.SyncReply != nil {
		heartbeat.SyncReply = &peerpb.SyncReply{Last: m.SyncReply.Last}
	}
	heartbeat.Records = mapSlice(m.Records, encodeRecord)
	heartbeat.Drains = mapSlice(m.DrainMarkers, func(d membership.DrainMarker) *peerpb.DrainMarker {
		return &peerpb.DrainMarker{Server: d.Server, Incarnation: d.Incarnation, Cleared: d.Cleared, RemainingMs: d.Remaining.Milliseconds()}
	})
	heartbeat.Stragglers = mapSlice(m.Stragglers, func(s membership.Straggler) *peerpb.Straggler {
		return &peerpb.Straggler{Server: s.Server, RemainingMs: s.Remaining.Milliseconds()}
	})
	heartbeat.Counts = mapSlice(m.InFlightCounts, func(c membership.InFlightCount) *peerpb.Count {
		return &peerpb.Count{Server: c.Server, InFlight: int64(c.InFlight), Long: int64(c.Long)}
	})
	heartbeat.ServerLimits = mapSlice(m.ServerLimits, EncodeServerLimit)
	heartbeat.Demand = mapSlice(m.Demand, encodeDemand)
	heartbeat.Summaries = mapSlice(m.Summaries, encodeSummary)
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(data) > membership.MaxMessageBytes {
		return nil, fmt.Errorf("%w: heartbeat has %d bytes", ErrTooLarge, len(data))
	}
	return data, nil
}

// mapSlice returns the converted items, nil when there are none.
func mapSlice[T, P any](in []T, convert func(T) P) []P {
	var out []P
	for _, item := range in {
		out = append(out, convert(item))
	}
	return out
}

func encodeAwaited(a store.AwaitedServer) *peerpb.AwaitedServer {
	return &peerpb.AwaitedServer{Id: a.ID, LeftMs: a.Left.Milliseconds()}
}

func decodeAwaited(a *peerpb.AwaitedServer) store.AwaitedServer {
	return store.AwaitedServer{ID: a.Id, Left: time.Duration(a.LeftMs) * time.Millisecond}
}

func encodeRecord(r membership.Record) *peerpb.Record {
	return &peerpb.Record{Id: r.ID, FailureDomain: r.FailureDomain, Address: r.Address, Incarnation: r.Incarnation,
		Counter: r.Counter, State: int64(r.State), Load: int64(r.Load), Revision: r.Revision,
		LinkMbits: int64(r.Capacity.LinkMbits), ProcessorMillis: int64(r.Capacity.ProcessorMillis)}
}

func encodeDemand(d membership.Demand) *peerpb.Demand {
	return &peerpb.Demand{Organisation: d.Organisation, MilliPerSecond: d.MilliPerSecond}
}

func encodeSummary(s membership.DomainSummary) *peerpb.Summary {
	return &peerpb.Summary{FailureDomain: s.FailureDomain, Members: int64(s.Members), Load: int64(s.Load), Revision: s.Revision,
		AgeMs: s.Age.Milliseconds(), Demand: mapSlice(s.Demand, encodeDemand),
		Contacts: mapSlice(s.Contacts, encodeContact)}
}

// Decode decodes a datagram.
func Decode(data []byte) (membership.Message, error) {
	var h peerpb.Heartbeat
	if len(data) > membership.MaxMessageBytes {
		return membership.Message{}, fmt.Errorf("%w: heartbeat has %d bytes", ErrTooLarge, len(data))
	}
	if err := proto.Unmarshal(data, &h); err != nil {
		return membership.Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m := membership.Message{From: decodeRecord(h.From), Urgent: h.Urgent, WantsAnswer: h.WantsAnswer,
		ProbeMember: h.ProbeMember, StoreContact: h.StoreContact, StoreReceiving: h.StoreReceiving, LiveMembers: int(h.LiveMembers),
		StoreStateAge: millis(h.StoreStateAgeMs), Sent: membership.ProcessTime{Started: h.ProcessStartedMs, Elapsed: millis(h.SentAfterMs)}}
	if h.SyncRequest != nil {
		m.SyncRequest = &membership.SyncRequest{After: h.SyncRequest.After}
	}
	if h.SyncReply != nil {
		m.SyncReply = &membership.SyncReply{Last: h.SyncReply.Last}
	}
	m.Records = mapSlice(h.Records, decodeRecord)
	m.DrainMarkers = mapSlice(h.Drains, func(d *peerpb.DrainMarker) membership.DrainMarker {
		return membership.DrainMarker{Server: d.GetServer(), Incarnation: d.GetIncarnation(), Cleared: d.GetCleared(), Remaining: millis(d.GetRemainingMs())}
	})
	m.Stragglers = mapSlice(h.Stragglers, func(s *peerpb.Straggler) membership.Straggler {
		return membership.Straggler{Server: s.GetServer(), Remaining: millis(s.GetRemainingMs())}
	})
	m.InFlightCounts = mapSlice(h.Counts, func(c *peerpb.Count) membership.InFlightCount {
		return membership.InFlightCount{Server: c.GetServer(), InFlight: int(c.GetInFlight()), Long: int(c.GetLong())}
	})
	m.ServerLimits = mapSlice(h.ServerLimits, DecodeServerLimit)
	m.Demand = mapSlice(h.Demand, decodeDemand)
	m.Summaries = mapSlice(h.Summaries, decodeSummary)
	return m, nil
}

// decodeRecord decodes a record. An unknown state is decoded as alive, because only
// the member itself can report that it has left.
func decodeRecord(r *peerpb.Record) membership.Record {
	state := membership.MemberState(r.GetState())
	if state < membership.Alive || state > membership.Left {
		state = membership.Alive
	}
	return membership.Record{ID: r.GetId(), FailureDomain: r.GetFailureDomain(), Address: r.GetAddress(), Incarnation: r.GetIncarnation(),
		Counter: r.GetCounter(), State: state, Load: int(r.GetLoad()), Revision: r.GetRevision(),
		Capacity: membership.Capacity{LinkMbits: int(r.GetLinkMbits()), ProcessorMillis: int(r.GetProcessorMillis())}}
}

func decodeDemand(d *peerpb.Demand) membership.Demand {
	return membership.Demand{Organisation: d.GetOrganisation(), MilliPerSecond: d.GetMilliPerSecond()}
}

func decodeSummary(s *peerpb.Summary) membership.DomainSummary {
	return membership.DomainSummary{FailureDomain: s.GetFailureDomain(), Members: int(s.GetMembers()), Load: int(s.GetLoad()),
		Revision: s.GetRevision(), Age: millis(s.GetAgeMs()), Demand: mapSlice(s.GetDemand(), decodeDemand),
		Contacts: mapSlice(s.GetContacts(), decodeContact)}
}

func encodeContact(c membership.Contact) *peerpb.Contact {
	return &peerpb.Contact{Id: c.ID, Address: c.Address}
}

func decodeContact(c *peerpb.Contact) membership.Contact {
	return membership.Contact{ID: c.GetId(), Address: c.GetAddress()}
}

// EncodeServerLimit encodes the limit of a backend server.
func EncodeServerLimit(l membership.ServerLimit) *peerpb.ServerLimit {
	return &peerpb.ServerLimit{Server: l.Server, Incarnation: l.Incarnation, Sequence: l.Sequence, MilliPerSecond: l.MilliPerSecond(), Ended: l.Ended}
}

// DecodeServerLimit decodes the limit of a backend server.
func DecodeServerLimit(l *peerpb.ServerLimit) membership.ServerLimit {
	return membership.ServerLimit{Entry: ratelimit.Entry{Server: l.GetServer(), Incarnation: l.GetIncarnation(), Sequence: l.GetSequence(),
		Rate: ratelimit.Rate(l.GetMilliPerSecond()) / milli, Ended: l.GetEnded()}}
}

// milli is the number of thousandths in one.
const milli = 1000

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
