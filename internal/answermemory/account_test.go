package answermemory

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// Guards against a faulty server whose answers leave no memory for those of others, and
// against the loss of a sound answer to it.
func TestTheLargestSourceMakesRoom(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(1000)
	var cut []string
	open := func(source, name string) *Holding {
		return a.Open(source, func() { cut = append(cut, name) })
	}
	small, large := open("faulty", "small"), open("faulty", "large")
	c.Assert(small.Reserve(300), qt.IsNil)
	c.Assert(large.Reserve(600), qt.IsNil)
	sound := open("sound", "sound")
	c.Assert(sound.Reserve(200), qt.IsNil)
	c.Assert(cut, qt.DeepEquals, []string{"large"})
	c.Assert(large.Reserve(1), qt.ErrorIs, ErrNoRoom)
	c.Assert(small.Reserve(600), qt.ErrorIs, ErrNoRoom)
	c.Assert(sound.Reserve(200), qt.IsNil)
	c.Assert(cut, qt.DeepEquals, []string{"large"})
	c.Assert(a.Usage(), qt.Equals, Usage{Bytes: 700, Evicted: 2})
}

// Guards against answers that are held only for a retry and leave no memory for those that
// can't be read without it.
func TestOptionalMemoryLeavesRoom(t *testing.T) {
	c := qt.New(t)
	a := NewAccount(1000)
	h := a.Open("s", func() {})
	c.Assert(h.Offer(750), qt.IsTrue)
	c.Assert(h.Offer(1), qt.IsFalse)
	c.Assert(h.Reserve(250), qt.IsNil)
}

// Guards against memory that stays reserved after an answer has ended or was cut off.
func TestAccountIsEmptyAfterAllAnswers(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	a := NewAccount(1000)
	var holdings []*Holding
	for range 2000 {
		switch h := a.Open(string(rune('a'+random.IntN(4))), func() {}); random.IntN(4) {
		case 0:
			_ = h.Reserve(random.Int64N(300)) // it may be refused
			holdings = append(holdings, h)
		case 1:
			h.Offer(random.Int64N(300))
			holdings = append(holdings, h)
		default:
			if len(holdings) > 0 {
				holdings[0].Close()
				holdings = holdings[1:]
			}
		}
		used := a.Usage().Bytes
		c.Assert(used >= 0 && used <= 1000, qt.IsTrue, qt.Commentf("%d", used))
	}
	for _, h := range holdings {
		h.Close()
		h.Close()
	}
	c.Assert(a.Usage().Bytes, qt.Equals, int64(0))
	c.Assert(a.sources, qt.HasLen, 0)
}

// Guards against a body without end that is read into memory, and against one that was cut
// off and is taken for a whole one.
func TestBodiesAreReadWithinTheAccount(t *testing.T) {
	c := qt.New(t)
	h := NewAccount(20<<10).Open("s", func() {})
	data, err := h.ReadBody(iotest.OneByteReader(strings.NewReader("12345")), 5)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "12345")
	_, err = h.ReadBody(strings.NewReader("123456"), 5)
	c.Assert(err, qt.ErrorIs, httpbody.ErrTooLarge)
	broken := errors.New("broken")
	_, err = h.ReadBody(iotest.ErrReader(broken), 5)
	c.Assert(err, qt.ErrorIs, broken)
	_, err = h.ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 5)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	_, err = h.ReadBody(strings.NewReader(strings.Repeat("a", 1<<20)), 1<<20)
	c.Assert(err, qt.ErrorIs, ErrNoRoom)
}
