package gateway

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// maxBodyMemoryBytes bounds the request bodies that an instance holds in memory at
// once: a quarter of the memory of the smallest instances.
const maxBodyMemoryBytes = 48 << 20

var errBodyMemoryFull = errors.New("memory limit for request bodies is reached")

// bodyMemory limits the memory that request bodies take.
type bodyMemory struct{ available *semaphore.Weighted }

func newBodyMemory() *bodyMemory { return &bodyMemory{semaphore.NewWeighted(maxBodyMemoryBytes)} }

// bodyReader reads a body and reserves memory for what it has read.
type bodyReader struct {
	memory        *bodyMemory
	reader        io.Reader
	reservedBytes int64
}

// Read reads from the body. It returns errBodyMemoryFull when the memory limit is
// reached.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 && !b.memory.available.TryAcquire(int64(n)) {
		return 0, errBodyMemoryFull
	}
	b.reservedBytes += int64(n)
	return n, err
}

// release releases the reserved memory.
func (b *bodyReader) release() { b.memory.available.Release(b.reservedBytes) }
