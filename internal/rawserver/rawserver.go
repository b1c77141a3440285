// Package rawserver serves connections for tests that write the bytes of their responses themselves: an HTTP
// library cannot send invalid ones.
//
// The package must never be imported by a shipped program.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Loopback is an address with a free port.
const Loopback = "127.0.0.1:0"

// Listen handles each connection to an address until the listener is closed. A connection is closed when
// its handler returns.
func Listen(address string, handle func(conn *net.TCPConn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener, nil
}

// Respond returns a handler that reads a request to its end, and writes a response and then, unless it is empty,
// a text again and again until the client closes the connection.
func Respond(response, repeated string) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err == nil {
			_, err = io.WriteString(conn, response)
		}
		for err == nil && repeated != "" {
			_, err = io.WriteString(conn, repeated)
		}
	}
}
