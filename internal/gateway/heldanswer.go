package gateway

import (
	"errors"
	"io"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// firstAnswerBytes is the size of the buffer that an answer begins with.
const firstAnswerBytes = 4 << 10

// heldAnswer is an answer of a server that is held before it is passed on.
type heldAnswer struct {
	memory *answermemory.Holding
	bytes  []byte
}

// release gives the memory back.
func (a *heldAnswer) release() { a.memory.Release(int64(cap(a.bytes))) }

// read reads an answer up to maxBufferedAnswerBytes, or as far as there is memory. It reports
// whether that is the whole answer.
func (a *heldAnswer) read(r io.Reader) (whole bool, err error) {
	for {
		if len(a.bytes) == cap(a.bytes) && !a.grow() {
			return false, nil
		}
		n, err := r.Read(a.bytes[len(a.bytes):cap(a.bytes)])
		a.bytes = a.bytes[:len(a.bytes)+n]
		if errors.Is(err, io.EOF) {
			return len(a.bytes) < maxBufferedAnswerBytes, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow doubles the buffer. It returns false when there is no memory for that.
func (a *heldAnswer) grow() bool {
	old := int64(cap(a.bytes))
	size := max(firstAnswerBytes, 2*old)
	if size > maxBufferedAnswerBytes || !a.memory.Offer(size) {
		return false
	}
	grown := make([]byte, len(a.bytes), size)
	copy(grown, a.bytes)
	a.bytes = grown
	a.memory.Release(old)
	return true
}
