package answermemory

import (
	"errors"
	"io"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
)

// firstReadBytes is the size of the buffer that a body begins with.
const firstReadBytes = 4 << 10

// ReadBody reads a body of at most limit bytes to its end. The memory is reserved as the body
// arrives, so that a length which is only announced costs nothing, and stays reserved. It
// returns httpbody.ErrTooLarge or ErrNoRoom when it stops reading.
func (h *Holding) ReadBody(body io.Reader, limit int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := h.grow(data, limit)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, httpbody.ErrTooLarge
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a buffer of twice the size with the same data. Both count while one is copied
// to the other.
func (h *Holding) grow(data []byte, limit int64) ([]byte, error) {
	old := int64(cap(data))
	// One byte beyond the limit distinguishes a body that ends there from a longer one.
	size := min(max(firstReadBytes, 2*old), limit+1)
	if err := h.Reserve(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	h.Release(old)
	return grown, nil
}
