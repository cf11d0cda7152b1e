package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// Client sends requests to backend servers over a pool of connections.
type Client struct {
	dialer         net.Dialer
	dials          tally.Counter
	strays         tally.Counter
	closeDelimited tally.Counter
	// carriedBefore counts the connections that were closed because they had carried the
	// request that was to be sent.
	carriedBefore tally.Counter
	// badHeads counts the heads that were cut off, and malformedHeads those that are not
	// valid HTTP/1.
	badHeads, malformedHeads tally.Counter
	memory                   *answermemory.Account
	// dialed is the number of the newest connection.
	dialed atomic.Uint64

	mu sync.Mutex
	// idle holds the idle connections, and open the number of all connections, by the ID
	// of the server.
	idle map[string][]*conn
	open map[string]int
}

// NewClient returns a client without connections. The memory of answers is reserved in an
// account; nil for no bound.
func NewClient(memory *answermemory.Account, scope tally.Scope) *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
			Control:         setUserTimeout,
		},
		dials:          scope.Counter("upstream_connections_opened"),
		strays:         scope.Counter("upstream_stray_answers"),
		closeDelimited: scope.Counter("upstream_close_delimited_answers"),
		carriedBefore:  scope.Counter("upstream_connections_carried_before"),
		badHeads:       scope.Counter("upstream_heads_cut_off"),
		malformedHeads: scope.Counter("upstream_malformed_heads"),
		memory:         memory,
		idle:           map[string][]*conn{},
		open:           map[string]int{},
	}
}

// setUserTimeout makes the system close a connection when the server does not acknowledge
// sent bytes within tcpUserTimeout.
func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var sockoptErr error
	err := rawConn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// acquire returns an idle connection that is still usable and has not carried the request
// before, or a new one. Its error wraps ErrNotSent.
func (c *Client) acquire(ctx context.Context, server Server, earlier *Sends) (*conn, error) {
	for {
		idle := c.takeIdle(server.ID)
		if idle == nil {
			break
		}
		if earlier.carriedBy(idle) {
			c.carriedBefore.Inc(1)
			c.discard(idle)
			continue
		}
		if idle.usable(time.Now()) && idle.leadsTo(server) {
			idle.reused = true
			return idle, nil
		}
		c.discard(idle)
	}
	if !c.reserveConnection(server) {
		return nil, c.notSentError(server, "too_many_connections", fmt.Errorf("limit of %d connections is reached", server.MaxConnections))
	}
	c.dials.Inc(1)
	netConn, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		c.releaseConnection(server.ID)
		return nil, c.notSentError(server, "dial_failed", err)
	}
	return newConn(c.dialed.Add(1), netConn, server), nil
}

func (c *Client) notSentError(server Server, code string, err error) error {
	return oops.In("upstream").Code(code).With("server", server.ID, "address", server.Address).Wrap(fmt.Errorf("%w: %w", ErrNotSent, err))
}

func (c *Client) takeIdle(serverID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[serverID]
	if len(idle) == 0 {
		return nil
	}
	newest := idle[len(idle)-1]
	c.idle[serverID] = idle[:len(idle)-1]
	return newest
}

func (c *Client) reserveConnection(server Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if server.MaxConnections > 0 && c.open[server.ID] >= server.MaxConnections {
		return false
	}
	c.open[server.ID]++
	return true
}

func (c *Client) releaseConnection(serverID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[serverID]--; c.open[serverID] <= 0 {
		delete(c.open, serverID)
	}
}

// recordHeadError counts the error of a head that was cut off or is malformed, and returns it.
func (c *Client) recordHeadError(err error) error {
	var malformed *answerhead.MalformedError
	var unparsable textproto.ProtocolError
	if errors.As(err, &malformed) || errors.As(err, &unparsable) {
		c.malformedHeads.Inc(1)
	}
	if errors.Is(err, errHeadTooLong) || errors.Is(err, answermemory.ErrNoRoom) || errors.Is(err, os.ErrDeadlineExceeded) {
		c.badHeads.Inc(1)
	}
	return err
}

// OpenConnections returns the number of connections to a server.
func (c *Client) OpenConnections(serverID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[serverID]
}

// putIdle adds a connection to the idle ones.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.serverID] = append(c.idle[cn.serverID], cn)
}

func (c *Client) discard(cn *conn) {
	cn.netConn.Close()
	c.releaseConnection(cn.serverID)
}

// CloseIdle closes the idle connections that have expired and those to servers that are
// not in use any more.
func (c *Client) CloseIdle(now time.Time, inUse func(serverID string) bool) {
	c.mu.Lock()
	var closing []*conn
	for serverID, idle := range c.idle {
		var kept []*conn
		for _, cn := range idle {
			if now.Before(cn.expires) && inUse(serverID) {
				kept = append(kept, cn)
			} else {
				closing = append(closing, cn)
			}
		}
		c.idle[serverID] = kept
		if len(kept) == 0 {
			delete(c.idle, serverID)
		}
	}
	c.mu.Unlock()
	for _, cn := range closing {
		c.discard(cn)
	}
}
