package soak

import (
	"context"
	"net"
	"sync"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

// pipeListener accepts in-memory connections for one process of an instance.
type pipeListener struct {
	gate     *gate
	incoming chan net.Conn
	closed   chan struct{}

	mu       sync.Mutex // guards open and isClosed
	open     map[*serverConn]bool
	isClosed bool
}

func newPipeListener(g *gate) *pipeListener {
	return &pipeListener{gate: g, incoming: make(chan net.Conn), closed: make(chan struct{}), open: map[*serverConn]bool{}}
}

// serverConn is the instance's end of a connection.
type serverConn struct {
	net.Conn
	listener *pipeListener
}

func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.listener.gate.failIfExited(err, net.ErrClosed)
}

func (c *serverConn) Write(p []byte) (int, error) {
	if err := c.listener.gate.awaitRunning(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *serverConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	server := &serverConn{Conn: serverEnd, listener: l}
	select {
	case l.incoming <- server:
		return clientEnd, nil
	case <-l.closed:
		return nil, upstream.ErrUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		l.mu.Lock()
		l.open[conn.(*serverConn)] = true
		l.mu.Unlock()
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections; open ones remain.
func (l *pipeListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isClosed {
		l.isClosed = true
		close(l.closed)
	}
	return nil
}

// Addr returns an empty address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connections returns the connections that the instance has not closed.
func (l *pipeListener) connections() []*serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*serverConn
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

// closeAll closes the listener and all connections, as the exit of the process does.
func (l *pipeListener) closeAll() {
	_ = l.Close()
	for _, c := range l.connections() {
		_ = c.Close()
	}
}
