package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// linkDelay is the one-way delay between regions.
const linkDelay = 12 * time.Millisecond

// linkCounter counts the bytes that cross the link between regions, in total and for
// each second of the Unix time at which they were counted.
type linkCounter struct {
	mu      sync.Mutex
	seconds map[int64]int64
	total   int64
}

func (c *linkCounter) add(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seconds == nil {
		c.seconds = map[int64]int64{}
	}
	c.seconds[time.Now().Unix()] += bytes
	c.total += bytes
}

// totals returns the bytes of the whole run and those of the busiest second.
func (c *linkCounter) totals() (total, busiest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, bytes := range c.seconds {
		busiest = max(busiest, bytes)
	}
	return c.total, busiest
}

// linkCaller delays and counts calls to servers of another region.
type linkCaller struct {
	backend.Caller
	region  string
	counter *linkCounter
}

// Call sends a request. When the server is in another region, the bytes are counted
// and the link delay is added in each direction.
func (c *linkCaller) Call(ctx context.Context, server backend.Server, request backend.StageRequest) (backend.StageStream, error) {
	if server.Region == c.region {
		return c.Caller.Call(ctx, server, request)
	}
	time.Sleep(linkDelay)
	c.counter.add(int64(len(request.Input)))
	stream, err := c.Caller.Call(ctx, server, request)
	if err != nil {
		return nil, err
	}
	time.Sleep(linkDelay)
	return &linkStream{stream, c.counter}, nil
}

// linkStream counts the bytes of an answer.
type linkStream struct {
	backend.StageStream
	counter *linkCounter
}

// Next returns the next chunk and counts its bytes.
func (s *linkStream) Next() ([]byte, error) {
	chunk, err := s.StageStream.Next()
	s.counter.add(int64(len(chunk)))
	return chunk, err
}
