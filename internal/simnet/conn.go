package simnet

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// windowBytes is how many bytes of one direction of a connection may be sent and not
	// read.
	windowBytes = 64 << 10
	// segmentBytes is the size of the parts in which data is sent.
	segmentBytes = 8 << 10
	// packetBytes is the size of the packets of a segment, each of which may be lost.
	packetBytes = 1400
)

// conn is one end of a connection.
type conn struct {
	host, peer          *Host
	local, remote       hostAddr
	incoming, outgoing  *stream
	closeOnce           sync.Once
	readBy, writeBefore deadline
}

// newConnPair returns the two ends of a connection from one host to an address of another.
func newConnPair(from, to *Host, address string) (client, server *conn) {
	there, back := newStream(), newStream()
	client = &conn{host: from, peer: to, local: hostAddr(from.ip + ":0"), remote: hostAddr(address), incoming: back, outgoing: there}
	server = &conn{host: to, peer: from, local: hostAddr(address), remote: hostAddr(from.ip + ":0"), incoming: there, outgoing: back}
	from.add(client)
	to.add(server)
	return client, server
}

// silence has both directions deliver nothing any more.
func (c *conn) silence() {
	c.incoming.silence()
	c.outgoing.silence()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.incoming.read(p, &c.readBy) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), segmentBytes)]
		if err := c.outgoing.awaitWindow(len(part), &c.writeBefore); err != nil {
			return written, err
		}
		at := c.host.network.deliver(c.host, c.peer, len(part))
		c.outgoing.add(part, at.Add(c.retransmissionDelay(len(part))))
		p = p[len(part):]
		written += len(part)
	}
	return written, nil
}

// retransmissionDelay returns how much later n bytes arrive because of lost packets.
func (c *conn) retransmissionDelay(n int) (delay time.Duration) {
	loss := c.host.lossTo(c.peer)
	for range (n + packetBytes - 1) / packetBytes {
		delay = max(delay, retransmissionDelay(loss, minRetransmissionDelay))
	}
	return delay
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.host.remove(c)
		c.outgoing.end(c.host.network.deliver(c.host, c.peer, 0))
		c.incoming.closeReader()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBy.set(t)
	c.incoming.recheckDeadlines()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBefore.set(t)
	c.outgoing.recheckDeadlines()
	return nil
}

// deadline is the time at which reads or writes fail; zero for never.
type deadline struct {
	mu sync.Mutex
	at time.Time
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
}

func (d *deadline) get() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// segment is a part of the data of a stream.
type segment struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	segments []segment
	unread   int
	silent   bool
	// endsAt is when the reader learns that the writer has closed the stream; zero while
	// it is open.
	endsAt       time.Time
	readerClosed bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// notify ends the waits for a change. It is called with the lock held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// recheckDeadlines has reads and writes check their deadlines again.
func (s *stream) recheckDeadlines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.notify()
}

func (s *stream) add(data []byte, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.segments); n > 0 && at.Before(s.segments[n-1].at) {
		at = s.segments[n-1].at // data arrives in order
	}
	s.segments = append(s.segments, segment{append([]byte(nil), data...), at})
	s.unread += len(data)
	s.notify()
}

func (s *stream) end(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = at
	s.notify()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.notify()
}

// awaitWindow waits until n more bytes may be sent.
func (s *stream) awaitWindow(n int, by *deadline) error {
	for {
		s.mu.Lock()
		changed := s.changed
		switch {
		case s.readerClosed && !s.silent, !s.endsAt.IsZero():
			s.mu.Unlock()
			return io.ErrClosedPipe
		case s.unread+n <= windowBytes:
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		if err := wait(changed, time.Time{}, by); err != nil {
			return err
		}
	}
}

// read returns the data that has arrived, or waits for some.
func (s *stream) read(p []byte, by *deadline) (int, error) {
	for {
		n, next, changed, err := s.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := wait(changed, next, by); err != nil {
			return 0, err
		}
	}
}

// take returns data that has arrived, or when to look again and the channel that is closed
// at the next change.
func (s *stream) take(p []byte) (n int, next time.Time, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerClosed {
		return 0, next, nil, net.ErrClosed
	}
	if s.silent {
		return 0, next, s.changed, nil
	}
	if len(s.segments) == 0 {
		if !s.endsAt.IsZero() && !time.Now().Before(s.endsAt) {
			return 0, next, nil, io.EOF
		}
		return 0, s.endsAt, s.changed, nil
	}
	first := &s.segments[0]
	if time.Now().Before(first.at) {
		return 0, first.at, s.changed, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	s.unread -= n
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.notify()
	return n, next, nil, nil
}

// wait returns at a change, at the time next unless it is zero, or with an error at the
// deadline.
func wait(changed chan struct{}, next time.Time, by *deadline) error {
	end := by.get()
	if !end.IsZero() && !time.Now().Before(end) {
		return errTimeout
	}
	until := next
	if until.IsZero() || !end.IsZero() && end.Before(until) {
		until = end
	}
	if until.IsZero() {
		<-changed
		return nil
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return nil
}
