package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// listeningTimeout bounds the connection attempt of Listening.
const listeningTimeout = 250 * time.Millisecond

// Listening tells whether the process of a server still accepts connections. The answer is
// Unreachable when the server's host does not answer, which leaves open whether the process
// runs.
type Listening int

// Results of Client.Listening.
const (
	Unreachable Listening = iota
	Accepts
	Refuses
)

func (l Listening) String() string {
	return [...]string{"unreachable", "accepts", "refuses"}[l]
}

// Listening opens a connection to a server and closes it. A host that refuses it has no
// process at that address: the server has ended. A connection that breaks off does not say
// that, because a proxy, a fault of the network or the server itself may have reset it.
func (c *Client) Listening(ctx context.Context, server Server) Listening {
	ctx, cancel := context.WithTimeout(ctx, listeningTimeout)
	defer cancel()
	c.dials.Inc(1)
	conn, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	switch {
	case err == nil:
		conn.Close()
		return Accepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	}
	return Unreachable
}
