//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller gets for a request.
type answer struct {
	status int // 0: none
	header http.Header
	body   []byte
	err    error // nil: the answer is complete
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d stamp=%q bytes=%d complete=%t took_ms=%d err=%v",
		a.status, a.header.Get("X-Server-Stamp"), len(a.body), a.status != 0 && a.err == nil, a.took.Milliseconds(), a.err)
}

// complete reports whether the caller has a whole answer.
func (a answer) complete() bool { return a.status != 0 && a.err == nil }

// head returns the head of a request up to and without its last empty line.
func head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, callerHost, id, deadline.Milliseconds(), callerKey)
}

// caller is a connection to an instance.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() } // nothing more is read from it

// send sends a request on the connection and reads its answer.
func (c *caller) send(method, path, id, body string, deadline time.Duration) answer {
	return c.exchange(method, head(method, path, id, deadline), body, deadline)
}

// sendStream sends a request for a stream.
func (c *caller) sendStream(path, id string, deadline time.Duration) answer {
	prompt := fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 8200,%d\r\nX-Prompt-Prefix: 5c1e07a2:200,%x:8000\r\n", 10*streamEvents, id)
	return c.exchange("POST", head("POST", path, id, deadline)+prompt, "the history of "+id, deadline)
}

func (c *caller) exchange(method, head, body string, deadline time.Duration) answer {
	startedAt := time.Now()
	_ = c.conn.SetDeadline(startedAt.Add(deadline)) // fails on a closed connection only
	text := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err, took: time.Since(startedAt)}
}

// call sends a request on a connection of its own.
func call(address, method, path, id, body string, deadline time.Duration) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(method, path, id, body, deadline)
}
