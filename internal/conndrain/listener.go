// Package conndrain closes the connections of an HTTP server whose process ends.
//
// The package must never close a connection while the server reads a request from it:
// http.Server.Shutdown would drop a request that arrives meanwhile, without an answer.
package conndrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pollInterval is the time between checks for connections whose request has ended.
const pollInterval = 50 * time.Millisecond

// Listener knows its open connections.
type Listener struct {
	net.Listener

	mu   sync.Mutex // guards open
	open map[*Conn]struct{}
}

// NewListener returns a listener whose connections are accepted by another one.
func NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, open: map[*Conn]struct{}{}}
}

// Accept returns the next connection. The server must use TrackState.
func (l *Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// AcceptConn returns the next connection, for listeners that wrap it.
func (l *Listener) AcceptConn() (*Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, onClose: l.remove}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Drain closes the listener and its connections, those with a request after its end, or returns
// an error when ctx ends before. The responses must close their connections, or callers may send
// one request after another.
func (l *Listener) Drain(ctx context.Context) error {
	closeErr := l.Listener.Close()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		open := l.closeIdle()
		if open == 0 {
			return closeErr
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.CombineErrors(errors.Wrapf(ctx.Err(), "%d connections are still open", open), closeErr)
		}
	}
}

// closeIdle closes the connections without a request and returns the number of the others.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.closeIfIdle() {
			delete(l.open, c)
		}
	}
	return len(l.open)
}

// Conn is a connection that knows whether the server has a part of a request.
type Conn struct {
	net.Conn
	onClose func(*Conn)

	mu     sync.Mutex // guards the fields below
	inUse  bool       // the server has a byte of a request
	closed bool       // while it was not in use; what arrives then is not a request to the server
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// CloseWrite sends the end of the stream, if the connection can. Servers do so before they close a
// connection whose caller may still send, since an early close can discard the response.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Read reads from the caller.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.beginUse() {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginUse records that the server gets a byte of a request. It returns false if the connection
// was closed before.
func (c *Conn) beginUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse = !c.closed
	return c.inUse
}

// EndUse records that the response to the last request has been written.
func (c *Conn) EndUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse = false
}

// closeIfIdle closes the connection if the server has no byte of a request, and reports whether
// it did.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inUse {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // the server closes it once more
	return true
}

// TrackState is the ConnState hook of a server that uses a Listener.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.EndUse()
	}
}
