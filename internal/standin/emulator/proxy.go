package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFault is a fault of the connections through a proxy. The zero value means
// no fault.
type ProxyFault struct {
	Delay               time.Duration // delay of each chunk, in both directions
	Silence             bool          // no data is forwarded, also on new connections
	DropResponses       bool          // data from the server is not forwarded
	Refuse              bool          // new connections are reset
	OpenConnectionsOnly bool          // the fault applies only to the connections that are open now
}

// Proxy forwards TCP connections to a server and injects faults.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards the fields below
	fault ProxyFault
	open  map[*proxiedConnection]struct{}
}

// proxiedConnection is one connection through a proxy.
type proxiedConnection struct {
	caller, server net.Conn
	fault          *ProxyFault // of this connection; nil: the fault of the proxy applies
}

// NewProxy returns a proxy for the target. It listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[*proxiedConnection]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of the proxy, or of its open connections if OpenConnectionsOnly is set.
func (p *Proxy) SetFault(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !fault.OpenConnectionsOnly {
		p.fault = fault
		return
	}
	for c := range p.open {
		c.fault = &fault
	}
}

// ResetConnections closes all connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // an error here needs no handling
	p.ResetConnections()
}

func (c *proxiedConnection) reset() {
	for _, conn := range []net.Conn{c.caller, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		_ = conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	if p.currentFault(nil).Refuse {
		(&proxiedConnection{caller: caller, server: caller}).reset()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		(&proxiedConnection{caller: caller, server: caller}).reset() // like a host without a listener on the port
		return
	}
	c := &proxiedConnection{caller: caller, server: server}
	p.mu.Lock()
	p.open[c] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(c, caller, server, false) })
	directions.Go(func() { p.forward(c, server, caller, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = server.Close()
}

// currentFault returns the fault of a connection if it has one, otherwise that of
// the proxy.
func (p *Proxy) currentFault(c *proxiedConnection) ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c != nil && c.fault != nil {
		return *c.fault
	}
	return p.fault
}

// forward copies one direction of a connection until it ends. A silence fault
// drops bytes; it then stays on the connection, because the stream has a gap.
func (p *Proxy) forward(c *proxiedConnection, from, to net.Conn, fromServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		fault := p.currentFault(c)
		if fault.Silence || fault.DropResponses && fromServer {
			p.mu.Lock()
			c.fault = &fault
			p.mu.Unlock()
			if err != nil {
				return // the other side does not see the close
			}
			continue
		}
		if fault.Delay > 0 {
			time.Sleep(fault.Delay)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			c.reset()
			return
		}
		switch {
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			c.reset()
			return
		}
	}
}
