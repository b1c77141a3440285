package keptconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// inVirtualTime runs a test in virtual time, until what it left behind has ended.
func inVirtualTime(t *testing.T, test func(t *testing.T, s *server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		test(t, s)
		s.transport.CloseIdleConnections()
		time.Sleep(IdleTimeout)
	})
}

// server answers requests on the connections of a test; respond writes the answer to the n-th request
// of the c-th connection.
type server struct {
	mu    sync.Mutex // guards conns
	conns int

	transport *Transport
}

func (s *server) serve(respond func(w io.Writer, conn, n int) bool) {
	s.transport = New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, conn := net.Pipe()
		s.mu.Lock()
		number := s.conns
		s.conns++
		s.mu.Unlock()
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(reader)
				if err != nil || !respond(conn, number, n) {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		}()
		return client, nil
	}})
}

func answer(w io.Writer, text string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

func (s *server) get(t *testing.T) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/report", nil)
	if err != nil {
		return "", err
	}
	response, err := s.transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against a new connection for each poll.
func TestConnectionsAreKept(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, s *server) {
		g := NewWithT(t)
		s.serve(func(w io.Writer, _, n int) bool { return answer(w, fmt.Sprint(n)) })
		for n := range 5 {
			text, err := s.get(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal(fmt.Sprint(n)))
		}
		g.Expect(s.conns).To(Equal(1))
	})
}

// Guards against taking an upstream for lost because a kept connection to it has gone silent, was closed
// or was reset.
func TestLostConnectionsAreReplaced(t *testing.T) {
	for name, lose := range map[string]func(w io.Writer) bool{
		"silent": func(io.Writer) bool { time.Sleep(2 * time.Second); return false },
		"closed": func(io.Writer) bool { return false },
		"cut":    func(w io.Writer) bool { _, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-"); return false },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, s *server) {
				g := NewWithT(t)
				s.serve(func(w io.Writer, conn, n int) bool {
					if conn == 0 && n == 1 {
						return lose(w)
					}
					return answer(w, fmt.Sprint(conn))
				})
				for range 2 {
					began := time.Now()
					_, err := s.get(t)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(time.Since(began)).To(BeNumerically("<=", FreshAfter))
				}
				g.Expect(s.conns).To(Equal(2))
			})
		})
	}
}

// Guards against a second connection to an upstream that is slow on a new one, which would double the
// load of an upstream in trouble.
func TestNewConnectionsAreNotDoubled(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, s *server) {
		g := NewWithT(t)
		s.serve(func(w io.Writer, _, _ int) bool {
			time.Sleep(3 * FreshAfter)
			return answer(w, "late")
		})
		text, err := s.get(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal("late"))
		g.Expect(s.conns).To(Equal(1))
	})
}

// Guards against sending a request with an effect twice.
func TestRequestsWithEffectsAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := &server{}
	s.serve(func(io.Writer, int, int) bool { return false })
	refused := func(method string, body io.Reader) {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://upstream/", body)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.transport.RoundTrip(r)
		g.Expect(err).To(MatchError(errNotRepeatable))
	}
	refused(http.MethodPost, nil)
	refused(http.MethodDelete, nil)
	refused(http.MethodGet, strings.NewReader("body"))
	g.Expect(s.conns).To(BeZero())
}
