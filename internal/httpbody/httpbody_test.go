package httpbody

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// Guards against the first bytes of a larger body that are taken for the whole body.
func TestBodiesOverTheLimitAreErrors(t *testing.T) {
	for _, body := range []func() io.Reader{
		func() io.Reader { return strings.NewReader("12345") },
		func() io.Reader { return iotest.OneByteReader(strings.NewReader("12345")) },
	} {
		c := qt.New(t)
		data, err := Read(body(), 5)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, "12345")
		_, err = Read(body(), 4)
		c.Assert(err, qt.ErrorIs, ErrTooLarge)
	}
}

// Guards against a JSON document that was cut off, or that is followed by other bytes.
func TestIncompleteJSONIsAnError(t *testing.T) {
	c := qt.New(t)
	var into struct{ A int }
	c.Assert(DecodeJSON(strings.NewReader(`{"a":1}`+"\n"), 100, &into), qt.IsNil)
	c.Assert(into.A, qt.Equals, 1)
	for _, body := range []string{"", `{"a":1`, `{"a":1}{"a":2}`, `{"a":1}x`} {
		c.Assert(DecodeJSON(strings.NewReader(body), 100, &into), qt.IsNotNil, qt.Commentf("%q", body))
	}
	c.Assert(DecodeJSON(strings.NewReader(`{"a":1}`), 5, &into), qt.ErrorIs, ErrTooLarge)
}
