package gateway

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// maxBodies bounds the bodies of requests that an instance holds at once: a quarter
// of the memory of the smallest instances.
const maxBodies = 48 << 20

var errBodiesFull = errors.New("too many request bodies are held")

// bodies counts the memory that bodies of requests take.
type bodies struct{ room *semaphore.Weighted }

func newBodies() *bodies { return &bodies{semaphore.NewWeighted(maxBodies)} }

// heldBody reads a body and counts it.
type heldBody struct {
	bodies *bodies
	reader io.Reader
	bytes  int64
}

// Read reads the body. It returns errBodiesFull when there is no room for more.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 && !b.bodies.room.TryAcquire(int64(n)) {
		return 0, errBodiesFull
	}
	b.bytes += int64(n)
	return n, err
}

// release gives the memory back.
func (b *heldBody) release() { b.bodies.room.Release(b.bytes) }
