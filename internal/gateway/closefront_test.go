package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// closing closes the front listener and sends the result when its connections are closed.
func (s *testServer) closing() <-chan error {
	closed := make(chan error, 1)
	go func() { closed <- s.front.Drain(context.Background()) }()
	return closed
}

// Guards against cutting off a request that begins just before a leaving instance closes its listener (incident LOST).
func TestRequestThatBeginsBeforeCloseIsAnswered(t *testing.T) {
	withServer(t, route.Limits{}, func(s *testServer) {
		s.serveTime.Store(int64(3 * time.Second))
		c := s.dial()
		answered := make(chan int, 1)
		go func() { answered <- c.request() }()
		time.Sleep(time.Second)
		closed := s.closing()
		s.g.Expect(<-answered).To(Equal(http.StatusOK))
		s.g.Expect(<-closed).To(Succeed())
	})
}

// Guards against closing a connection without an answer because a leaving instance closes its listener
// while the head of a request arrives.
func TestRequestThatArrivesDuringCloseIsAnswered(t *testing.T) {
	for _, kept := range []bool{true, false} {
		withServer(t, route.Limits{}, func(s *testServer) {
			c := s.dial()
			if kept {
				s.g.Expect(c.request()).To(Equal(http.StatusOK))
			}
			_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\n")
			s.g.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
			closed := s.closing()
			time.Sleep(drainPollInterval / 2)
			_, err = io.WriteString(c.conn, "Host: h\r\n\r\n")
			s.g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(c.reader, nil)
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			s.g.Expect(<-closed).To(Succeed())
		})
	}
}

// Guards against a leaving instance that waits for connections that never send a request.
func TestUnusedConnectionDoesNotDelayClose(t *testing.T) {
	withServer(t, route.Limits{}, func(s *testServer) {
		unused, kept := s.dial(), s.dial()
		s.g.Expect(kept.request()).To(Equal(http.StatusOK))
		time.Sleep(time.Second)
		began := time.Now()
		s.g.Expect(s.front.Drain(context.Background())).To(Succeed())
		s.g.Expect(time.Since(began)).To(Equal(time.Duration(0)))
		s.g.Expect(unused.closedAfter()).To(Equal(time.Duration(0)))
		s.g.Expect(kept.closedAfter()).To(Equal(time.Duration(0)))
	})
}
