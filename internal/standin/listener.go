package standin

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Listener wraps a net.Listener and injects faults into its connections: they
// can be closed, silenced or paused.
type Listener struct {
	net.Listener

	mu        sync.Mutex // guards the fields below; never held during I/O
	open      map[*conn]struct{}
	silent    []net.Conn    // kept open so that the peer does not see a closed connection
	pauseGate chan struct{} // closed when a pause ends; nil if not paused
	closed    bool
}

// NewListener returns a Listener over inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: map[*conn]struct{}{}}
}

// Accept returns the next connection, wrapped for fault injection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// CutConnections closes all open connections except those that carry a control request.
func (l *Listener) CutConnections() {
	for _, c := range l.connections() {
		_ = c.Conn.Close()
	}
}

// SilenceConnections stops all traffic on the open connections permanently, except on those
// that carry a control request: no data passes in either direction, and the peer
// does not see the connection close. New connections work.
func (l *Listener) SilenceConnections() {
	for _, c := range l.connections() {
		c.setSilent()
	}
}

// Pause blocks all traffic on open and new connections until Resume.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pauseGate == nil {
		l.pauseGate = make(chan struct{})
	}
}

// Resume ends a pause.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pauseGate != nil {
		close(l.pauseGate)
		l.pauseGate = nil
	}
}

// Close closes the listener and the silent connections that it kept open.
func (l *Listener) Close() error {
	l.mu.Lock()
	silent := l.silent
	l.silent = nil
	l.closed = true
	l.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
	return l.Listener.Close()
}

// connections returns the open connections that are subject to faults.
func (l *Listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.open))
	for c := range l.open {
		if !c.isControl() {
			out = append(out, c)
		}
	}
	return out
}

func (l *Listener) currentPauseGate() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauseGate
}

// remove removes a connection that the server closed. It returns false if the
// connection to the peer must stay open.
func (l *Listener) remove(c *conn, silent bool) (closePeer bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if !silent || l.closed {
		return true
	}
	l.silent = append(l.silent, c.Conn)
	return false
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	closed   chan struct{}

	mu      sync.Mutex // guards the fields below
	silent  bool
	control bool // carries a control request, which is exempt from faults
}

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) setControl() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = true
}

func (c *conn) isControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}

// waitWhilePaused waits while the listener is paused.
func (c *conn) waitWhilePaused() {
	if gate := c.listener.currentPauseGate(); gate != nil {
		select {
		case <-gate:
		case <-c.closed:
		}
	}
}

// Read discards data that arrives on a silent connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.waitWhilePaused()
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write discards data for a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	c.waitWhilePaused()
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetLinger sets the behaviour of Close like that of a net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.New("not a TCP connection")
}

// Close closes the connection. The peer of a silent connection sees it as open.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		if c.listener.remove(c, c.isSilent()) {
			err = c.Conn.Close()
		}
	})
	return err
}
