//go:build review

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Names in the configuration of the cases.
const (
	Host    = "shop.example"
	Tenant  = "shop-a"
	Key     = "key-shop-a"
	Plain   = "shop-app"
	Engines = "draft-llm"
)

// Limits are the limits for callers that the pages give as an example.
var Limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// Configuration returns a configuration with routes and both services of a small deployment.
func Configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "limits": Limits,
		"services": []map[string]any{
			{"name": Plain, "health_path": "/healthz", "max_conns": 110},
			{"name": Engines, "health_path": "/healthz", "max_conns": 370, "engine": map[string]any{"slots": 64, "kv_tokens": 88000, "backups": true, "moves": true, "handle_s": 4.0}},
		},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}}},
	}
}

// NewRoute returns a route whose path prefix is its name.
func NewRoute(name, kind, service string, maxAttempts, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": "/" + name + "/", "route_type": kind, "service": service, "max_attempts": maxAttempts,
		"timeout_ms": timeoutMS, "latency_goal_ms": 100, "priority": 2, "public": false,
	}
}

// Request is a request of a client.
type Request struct {
	Method, Path, ID string
	Header           http.Header // further fields
	Body             []byte
	Deadline         time.Duration
}

// Answer is what a client got.
type Answer struct {
	Status int // 0: the connection ended without a whole answer
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no whole answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms", a.Status, a.Took.Milliseconds())
}

// Bytes returns the request as sent.
func (q Request) Bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.Method, q.Path, Host, q.ID, q.Deadline.Milliseconds(), Key)
	for name, values := range q.Header {
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	if q.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// Send sends the request to an address on a new connection and reads the answer.
func (q Request) Send(address string) Answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer conn.Close()
	return q.SendOn(conn, began)
}

// SendOn sends the request on a connection and reads the answer.
func (q Request) SendOn(conn net.Conn, began time.Time) Answer {
	return Exchange(conn, q.Method, q.Bytes(), time.Until(began.Add(q.Deadline)))
}

// Exchange sends a request on a connection and reads the answer.
func Exchange(conn net.Conn, method string, request []byte, limit time.Duration) Answer {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(limit)) // fails on a closed connection only
	if _, err := conn.Write(request); err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: err, Took: time.Since(began)}
}
