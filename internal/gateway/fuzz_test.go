package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
)

// Guards against events that are changed, joined or split on their way, and against a stream
// that ends inside an event and looks complete.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	f.Add([]byte(": comment\n\nid:3\r\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newEventReader(bytes.NewReader(data), nil)
		var passedOn []byte
		for {
			e, err := reader.next()
			passedOn = append(passedOn, e.data...)
			if err == nil {
				continue
			}
			if !bytes.Equal(passedOn, data) {
				t.Fatalf("%q became %q", data, passedOn)
			}
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && e.begun {
				t.Fatalf("%q ends inside an event and looks complete", data)
			}
			return
		}
	})
}

// Guards against an entry under the prefix of quarantines that ends a gateway or refuses
// requests without any part.
func FuzzQuarantineEntries(f *testing.F) {
	f.Add([]byte(`{"service":"x","parts":["a"],"until":"2030-01-01T00:00:00Z","crashes":3}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		q := NewQuarantines(discardLogger(), tally.NoopScope)
		q.ObserveView(&view.View{Quarantines: []store.Entry{{Key: view.QuarantinePrefix + "q", Value: value, Version: 1}}})
		if refuses(q) {
			t.Fatal("a request without parts is refused")
		}
	})
}
