//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the network between the instances and a server. While it is cut, it holds up what
// either side sends, also the end of a connection.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex    // guards open
	open chan struct{} // closed while the network is whole
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// awaitWhole waits while the network is cut.
func (p *proxy) awaitWhole() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve(client net.Conn) {
	p.awaitWhole()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // the server refuses connections
		_ = client.Close()
		return
	}
	go p.forward(server, client)
	p.forward(client, server)
}

// forward forwards bytes and the end of a connection, which is a reset if the source was reset.
func (p *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitWhole()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
