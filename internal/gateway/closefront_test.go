package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against cutting off a request that begins just before a leaving instance closes its listener (incident LOST).
func TestRequestThatBeginsBeforeCloseIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var active atomic.Int64
		front := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			time.Sleep(10 * closeTimeout)
			_, _ = io.WriteString(w, "answer")
		})}
		listener := make(pipeListener)
		go func() { _ = front.Serve(listener) }()
		caller, server := net.Pipe()
		defer caller.Close()
		listener <- server
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: host\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		answered := make(chan string, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				answered <- err.Error()
				return
			}
			body, _ := io.ReadAll(response.Body)
			answered <- string(body)
		}()
		_ = closeFront(front, func() int { return int(active.Load()) })
		_ = front.Close() // as at the end of the process
		synctest.Wait()
		g.Expect(answered).To(Receive(Equal("answer")))
	})
}

// Guards against a leaving instance that waits for connections that never send a request.
func TestUnusedConnectionDoesNotDelayClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		front := &http.Server{}
		listener := make(pipeListener)
		go func() { _ = front.Serve(listener) }()
		caller, server := net.Pipe()
		defer caller.Close()
		listener <- server
		began := time.Now()
		g.Expect(closeFront(front, func() int { return 0 })).NotTo(Succeed())
		g.Expect(time.Since(began)).To(Equal(closeTimeout))
		_ = front.Close()
	})
}
