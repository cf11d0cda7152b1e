package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const first = `12.5 front-1 {"time":"2026-01-01T00:00:00.010Z","level":"INFO","msg":"request sent to a backend server","event":7201,"id":"a1","server":"s1","left_ms":1490}
not JSON a1
{"time":"2026-01-01T00:00:00.011Z","msg":"other","event":7201,"id":"a12"}
`

const second = `{"time":"2026-01-01T00:00:00.002Z","level":"INFO","msg":"stage of a request ended","event":7210,"id":"a1","stage":0}
`

// Guards against lines of other requests, a wrong order, and a search that ends at
// the first line that is not JSON.
func TestLinesOfOneRequestInOrderOfTime(t *testing.T) {
	c := qt.New(t)
	lines, err := Find("x.log", strings.NewReader(first), "a1")
	c.Assert(err, qt.IsNil)
	more, err := Find("y.log", strings.NewReader(second), "a1")
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(Print(&out, append(lines, more...)), qt.IsNil)
	c.Assert(out.String(), qt.Equals, "+   0.000 ms  y.log  7210 stage of a request ended  stage=0\n"+
		"+   8.000 ms  x.log 12.5 front-1  7201 request sent to a backend server  left_ms=1490  server=s1\n")
	c.Assert(Print(&out, nil), qt.ErrorIs, ErrNotFound)
}
