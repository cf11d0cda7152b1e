package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// Client keeps connections to backend servers.
type Client struct {
	dialer net.Dialer
	dials  tally.Counter
	strays tally.Counter

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// NewClient returns a client without connections.
func NewClient(scope tally.Scope) *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
			Control:         setUserTimeout,
		},
		dials:  scope.Counter("upstream_connections_opened"),
		strays: scope.Counter("upstream_stray_answers"),
		idle:   map[string][]*conn{},
		open:   map[string]int{},
	}
}

// setUserTimeout ends a connection whose peer no longer acknowledges what is sent.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// acquire returns a kept connection that is still usable, or a new one.
func (c *Client) acquire(ctx context.Context, server Server) (*conn, error) {
	for {
		kept := c.takeIdle(server.ID)
		if kept == nil {
			break
		}
		if kept.usable(time.Now()) && kept.address == server.Address {
			kept.reused = true
			return kept, nil
		}
		c.discard(kept)
	}
	if !c.reserve(server) {
		return nil, c.notSent(server, "too_many_connections", fmt.Errorf("%d connections are open", server.MaxConnections))
	}
	c.dials.Inc(1)
	network, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		c.release(server.ID)
		return nil, c.notSent(server, "dial_failed", err)
	}
	return newConn(network, server), nil
}

func (c *Client) notSent(server Server, code string, err error) error {
	return oops.In("upstream").Code(code).With("server", server.ID, "address", server.Address).Wrap(fmt.Errorf("%w: %w", ErrNotSent, err))
}

func (c *Client) takeIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[id]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[id] = list[:len(list)-1]
	return last
}

func (c *Client) reserve(server Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if server.MaxConnections > 0 && c.open[server.ID] >= server.MaxConnections {
		return false
	}
	c.open[server.ID]++
	return true
}

func (c *Client) release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id]--; c.open[id] <= 0 {
		delete(c.open, id)
	}
}

// keep returns a connection to the idle ones.
func (c *Client) keep(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.server] = append(c.idle[k.server], k)
}

func (c *Client) discard(k *conn) {
	k.network.Close()
	c.release(k.server)
}

// CloseIdle closes the idle connections whose time is over and those to servers
// that are not in use any more.
func (c *Client) CloseIdle(now time.Time, inUse func(id string) bool) {
	c.mu.Lock()
	var closing []*conn
	for id, list := range c.idle {
		var kept []*conn
		for _, k := range list {
			if now.Before(k.expires) && inUse(id) {
				kept = append(kept, k)
			} else {
				closing = append(closing, k)
			}
		}
		c.idle[id] = kept
		if len(kept) == 0 {
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, k := range closing {
		c.discard(k)
	}
}
