package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, errors.New("closed")
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// keptConnection is one connection of a caller to an HTTP server in front of the forwarder.
type keptConnection struct {
	h      *harness
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) keepConnection(t *testing.T) keptConnection {
	listener := make(pipeListener, 1)
	server := &http.Server{Handler: h.f}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	client, accepted := net.Pipe()
	listener <- accepted
	t.Cleanup(func() {
		_ = client.Close()
		close(listener)
		_ = server.Shutdown(context.Background())
	})
	return keptConnection{h: h, conn: client, reader: bufio.NewReader(client)}
}

// request sends a request with one header field and returns the status of the response.
func (c keptConnection) request(header string) (status int, body string) {
	_, err := io.WriteString(c.conn, "POST /path/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\n"+header+"Content-Length: 4\r\n\r\nbody")
	c.h.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.reader, nil)
	c.h.g.Expect(err).NotTo(HaveOccurred(), "the connection ended without a response")
	text, err := io.ReadAll(response.Body)
	c.h.g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, strings.TrimSpace(string(text))
}

// Guards against a refusal or failure that is lost on a kept connection since the time limit of an earlier response has passed.
func TestRefusalOnIdleConnectionIsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		behave behaviour
		status int
	}{
		"refusal":         {behave: refuseAsNotRun, status: http.StatusServiceUnavailable},
		"failure":         {behave: resetConnection, status: http.StatusBadGateway},
		"no answer":       {behave: neverRespond, status: http.StatusGatewayTimeout},
		"upstream answer": {behave: respondWith(http.StatusOK, "answer"), status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, atMostOnce, false, "a")
				h.setBehaviour(respondWith(http.StatusOK, "answer"), "a")
				c := h.keepConnection(t)
				status, _ := c.request("")
				h.g.Expect(status).To(Equal(http.StatusOK))
				time.Sleep(writeTimeout + time.Second)
				h.setBehaviour(test.behave, "a")
				status, _ = c.request("Deadline: 2000\r\n")
				h.g.Expect(status).To(Equal(test.status))
			})
		})
	}
}

// Guards against a stream that looks cut off since its upstream ends it long after the last event.
func TestEndOfStreamIsWrittenAfterSilence(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.Resumable = false
		h := newHarness(t, r, true, "a")
		h.setBehaviour(func(receivedRequest) (*http.Response, error) {
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, eventsText(1, 3)) // an error means that the stream was left
				time.Sleep(writeTimeout + time.Second)
				_ = writer.Close()
			}()
			response := response(http.StatusOK, "")
			response.Body = reader
			return response, nil
		}, "a")
		status, body := h.keepConnection(t).request("")
		h.g.Expect(status).To(Equal(http.StatusOK))
		h.g.Expect(body + "\n\n").To(Equal(eventsText(1, 3)))
	})
}

// Guards against a long answer that looks cut off since its upstream sends the rest late.
func TestEndOfLongAnswerIsWrittenAfterSilence(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := atMostOnce
		r.Timeout = streaming.Timeout
		h := newHarness(t, r, false, "a")
		long := strings.Repeat("x", bufferedResponseBytes+1)
		h.setBehaviour(func(receivedRequest) (*http.Response, error) {
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, long) // an error means that the response was left
				time.Sleep(writeTimeout + time.Second)
				_ = writer.Close()
			}()
			response := response(http.StatusOK, "")
			response.Body, response.ContentLength, response.TransferEncoding = reader, -1, []string{"chunked"}
			return response, nil
		}, "a")
		status, body := h.keepConnection(t).request("")
		h.g.Expect(status).To(Equal(http.StatusOK))
		h.g.Expect(len(body)).To(Equal(len(long)))
	})
}
