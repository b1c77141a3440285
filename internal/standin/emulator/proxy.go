package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFault is what a proxy does to the connections through it. The zero value
// passes everything on.
type ProxyFault struct {
	Delay    time.Duration // of each piece, in both directions
	Silence  bool          // nothing is passed on, and new connections get no answer
	OneWay   bool          // what the server sends is not passed on
	Refuse   bool          // new connections are closed at once
	OnlyOpen bool          // the fault is for connections that are open now
}

// Proxy passes TCP connections on to a server, with faults.
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
	fault          *ProxyFault // its own; nil: that of the proxy
}

// NewProxy returns a proxy at an address of its own.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: map[*proxiedConnection]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set makes the proxy behave as told.
func (p *Proxy) Set(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !fault.OnlyOpen {
		p.fault = fault
		return
	}
	for c := range p.open {
		c.fault = &fault
	}
}

// Reset closes all connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing is left to do if it fails
	p.Reset()
}

func (c *proxiedConnection) reset() {
	for _, conn := range []net.Conn{c.caller, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection may have ended
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
		(&proxiedConnection{caller: caller, server: caller}).reset() // as a machine without a listener does
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

// currentFault returns the fault of a connection, or of the proxy.
func (p *Proxy) currentFault(c *proxiedConnection) ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c != nil && c.fault != nil {
		return *c.fault
	}
	return p.fault
}

// forward passes one direction on until it ends. While the fault is silence the
// bytes are lost, so the connection stays silent for good.
func (p *Proxy) forward(c *proxiedConnection, from, to net.Conn, fromServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		fault := p.currentFault(c)
		if fault.Silence || fault.OneWay && fromServer {
			p.mu.Lock()
			c.fault = &fault
			p.mu.Unlock()
			if err != nil {
				return // the other side is not told
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
