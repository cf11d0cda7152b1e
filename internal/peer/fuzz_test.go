package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Guards against a datagram that ends the process, when it is decoded or when membership takes
// it over, and against one that membership can't send on within the size of a datagram.
func FuzzHeartbeats(f *testing.F) {
	record := membership.Record{ID: "b", FailureDomain: "d", Address: "10.0.0.2:80", Incarnation: 1}
	data, err := Encode(membership.Message{
		From: record, Urgent: true, Records: []membership.Record{record},
		DrainMarkers: []membership.DrainMarker{{Server: "s", Incarnation: 2, Remaining: time.Minute}},
		Summaries:    []membership.DomainSummary{{FailureDomain: "e", Members: 2, Contacts: []membership.Contact{{ID: "c", Address: "10.0.0.3:80"}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		state := membership.New(membership.Identity{ID: "a", FailureDomain: "d", Address: "10.0.0.1:80", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), now)
		outputs := append(state.Receive(now, message), state.Tick(now.Add(time.Second))...)
		for _, output := range outputs {
			if send, ok := output.(membership.Send); ok {
				if _, err := Encode(send.Message); err != nil {
					t.Fatalf("message can't be sent: %v", err)
				}
			}
		}
	})
}
