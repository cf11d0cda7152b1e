package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

const entryText = `{
	// A small instance.
	"instance": "entry-1", "region": "r", "failure_domain": "r-a",
	"caller_address": "127.0.0.1:7000", "admin_address": "127.0.0.1:7001",
	"store_address": "127.0.0.1:7002", "platform_address": "127.0.0.1:7002",
	"peers": ["127.0.0.1:8000"],
}`

// Guards against a mistake that is not reported, is reported at the wrong position,
// or hides another one.
func TestEachMistakeIsReportedWithPosition(t *testing.T) {
	c := qt.New(t)
	entry, err := Parse("f", []byte(entryText))
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Instance, qt.Equals, "entry-1")
	c.Assert(entry.DrainGrace(), qt.Equals, 2*time.Second)

	for _, test := range []struct{ old, new, want string }{
		{`"instance": "entry-1",`, ``, `f:1:1: setting "instance" is missing`},
		{`"entry-1"`, `""`, `f:3:14: setting "instance" is empty`},
		{`"entry-1"`, `7`, `f:3:14: setting "instance" cannot be a number`},
		{`"instance"`, `"instanse"`, `f:3:2: unknown setting "instanse"`},
		{`"region": "r"`, `"region": "r", "region": "s"`, `f:3:40: setting "region" is given twice`},
		{`:7001`, `:7000`, `f:4:55: setting "admin_address" has the same address as "caller_address"`},
		{`"127.0.0.1:7001"`, `"localhost:7001"`, `f:4:55: setting "admin_address": "localhost:7001" is not an IP address with a port`},
		{`"127.0.0.1:7001"`, `"127.0.0.1"`, `f:4:55: setting "admin_address": "127.0.0.1" is not an IP address with a port`},
		{`"127.0.0.1:7001"`, `"127.0.0.1:0"`, `f:4:55: setting "admin_address": "127.0.0.1:0" is not an IP address with a port`},
		{`["127.0.0.1:8000"]`, `["127.0.0.1:8000", "127.0.0.1:8000"]`, `f:6:30: setting "peers" lists 127.0.0.1:8000 twice`},
		{`["127.0.0.1:8000"]`, `[], "advertise_address": "a:1"`, `f:6:36: setting "advertise_address": "a:1" is not an IP address with a port`},
		{`["127.0.0.1:8000"]`, `["x"]`, `f:6:12: setting "peers": "x" is not an IP address with a port`},
		{`["127.0.0.1:8000"]`, `[], "drain_grace_ms": -1`, `f:6:33: setting "drain_grace_ms" is negative`},
		{`["127.0.0.1:8000"]`, `[], "drain_grace_ms": 9000`, `f:6:33: a drain grace of 9000 ms needs "shutdown_deadline_ms", whose default leaves 5000 ms`},
		{`["127.0.0.1:8000"]`, `[], "shutdown_deadline_ms": 2000`, `f:6:39: the drain grace of 2000 ms leaves no time before the shutdown deadline`},
		{`"peers": [`, `"peers": {`, `f:6:28: invalid character ']' after object name`},
	} {
		_, err := Parse("f", []byte(strings.Replace(entryText, test.old, test.new, 1)))
		c.Check(err, qt.Not(qt.IsNil))
		if err != nil {
			c.Check(strings.Split(err.Error(), "\n"), qt.Contains, test.want)
		}
	}

	_, err = Parse("f", []byte(`{"instance": 1, "x": 2}`))
	var mistakes *MistakesError
	c.Assert(errors.As(err, &mistakes), qt.IsTrue)
	c.Assert(len(mistakes.Mistakes), qt.Equals, 8)
}

// Guards against a panic of the parser on a damaged settings file.
func TestDamagedFileDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(entryText)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`{}[]",:0-n/`)).Draw(t, "byte")
		}
		_, _ = Parse("f", data)
	})
}
