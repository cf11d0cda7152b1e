package gateway

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// maxBodyMemoryBytes bounds the bodies of requests that an instance holds at once: a quarter
// of the memory of the smallest instances.
const maxBodyMemoryBytes = 48 << 20

var errBodyMemoryFull = errors.New("too many request bodies are held")

// bodyMemory counts the memory that bodies of requests take.
type bodyMemory struct{ available *semaphore.Weighted }

func newBodyMemory() *bodyMemory { return &bodyMemory{semaphore.NewWeighted(maxBodyMemoryBytes)} }

// bodyReader reads a body and counts it.
type bodyReader struct {
	memory *bodyMemory
	reader io.Reader
	held   int64
}

// Read reads the body. It returns errBodiesFull when there is no room for more.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 && !b.memory.available.TryAcquire(int64(n)) {
		return 0, errBodyMemoryFull
	}
	b.held += int64(n)
	return n, err
}

// release gives the memory back.
func (b *bodyReader) release() { b.memory.available.Release(b.held) }
