package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

const testGrace = 8 * time.Second

// lateRequest is a request of a caller of a leaving instance.
type lateRequest struct {
	arrives  time.Duration // after SIGTERM; negative: before
	deadline time.Duration
	body     time.Duration // time until the body is complete
}

// bodyRecorder records a response to a request whose body arrives over a connection.
type bodyRecorder struct {
	*httptest.ResponseRecorder
	conn net.Conn
}

func (r bodyRecorder) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// connBody reads the body from a connection that the caller closes at its end.
type connBody struct{ net.Conn }

// sendLate sends a request and returns its response, false if it was in progress at the end
// of the process.
func (h *harness) sendLate(spec lateRequest, id string, endsAt time.Time) (got callerResult, answered bool) {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	caller, server := net.Pipe()
	defer caller.Close()
	go func() {
		defer caller.Close()
		if pause(ctx, spec.body) {
			_, _ = io.WriteString(caller, "body") // an error means that the instance did not wait for it
		}
	}()
	r := httptest.NewRequest(http.MethodPost, "http://host/path", connBody{server}).WithContext(ctx)
	r.ContentLength = -1
	r.Header.Set("Id", id)
	if spec.deadline > 0 {
		r.Header.Set("Deadline", formatMilliseconds(spec.deadline))
	}
	w := bodyRecorder{httptest.NewRecorder(), server}
	done := make(chan callerResult, 1)
	began := time.Now()
	go func() {
		got := callerResult{}
		defer func() {
			if value := recover(); value != nil {
				got.aborted = true
			}
			got.status, got.header, got.body, got.duration = w.Code, w.Header(), w.Body.String(), time.Since(began)
			done <- got
		}()
		h.f.ServeHTTP(w, r)
	}()
	killed := time.NewTimer(time.Until(endsAt))
	defer killed.Stop()
	select {
	case got = <-done:
		return got, !got.aborted
	case <-killed.C:
	}
	cancel()
	return <-done, false
}

// seeStreams makes the instance know how long streams take.
func (h *harness) seeStreams(d time.Duration) {
	for range recentStreams {
		h.f.Drain.ObserveStream(d)
	}
}

func formatMilliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Guards against requests that are cut off without an answer at the end of the grace time of a leaving instance.
func TestLeavingInstanceAnswersLateRequests(t *testing.T) {
	oneStream, once := streaming, atMostOnce
	oneStream.Resumable, once.Timeout = false, 25*time.Second
	call := once
	call.Kind, call.MaxAttempts = route.Idempotent, 2
	long := sendEvents(63, 100*time.Millisecond, nil)   // 6.3 s
	longer := sendEvents(75, 100*time.Millisecond, nil) // 7.5 s
	answer := respondWith(http.StatusOK, "answer")
	slowAnswer := respondAfter(12*time.Second, answer)
	for name, c := range map[string]struct {
		route   route.Route
		request lateRequest
		behave  behaviour
		unknown bool // the instance has seen no streams
		startup bool // the first reads are not complete
		status  int
		runs    int
		latest  time.Duration // of the answer, after SIGTERM; 0: the end of the grace time
	}{
		"stream with a slow body":             {route: streaming, request: lateRequest{body: 2 * time.Second}, behave: long, status: 503, latest: 2 * time.Second},
		"stream that must not be repeated":    {route: oneStream, request: lateRequest{arrives: time.Second}, behave: longer, status: 503, latest: time.Second},
		"stream of unknown duration":          {route: streaming, request: lateRequest{arrives: time.Second}, behave: longer, unknown: true, status: 503, latest: time.Second},
		"at-most-once call of before SIGTERM": {route: once, request: lateRequest{arrives: -time.Second}, behave: slowAnswer, status: 504, runs: 1},
		"call of before SIGTERM":              {route: call, request: lateRequest{arrives: -time.Second}, behave: slowAnswer, status: 504, runs: 2},
		"stream without a first event":        {route: streaming, request: lateRequest{arrives: -time.Second}, behave: slowAnswer, status: 504, runs: 1},
		"call with an endless body":           {route: call, request: lateRequest{arrives: -time.Second, body: 20 * time.Second}, behave: answer, status: 503},
		"call at a starting instance":         {route: call, request: lateRequest{arrives: -time.Second}, behave: answer, startup: true, status: 503},
		"call refused by an upstream": {route: call, request: lateRequest{arrives: -time.Second}, behave: respondAfter(2*time.Second, refuseAsNotRun),
			status: 503, latest: time.Second},
		"stream that its upstreams lose": {route: streaming, request: lateRequest{arrives: -time.Second}, behave: respondAfter(3*time.Second, resetConnection),
			status: 504, latest: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, c.route, c.route.Kind == route.Stream, "a", "b", "c")
				h.setBehaviour(c.behave, "a", "b", "c")
				if !c.unknown {
					h.seeStreams(time.Second)
				}
				if c.startup {
					h.f.Startup = make(chan struct{})
				}
				signalAt := time.Now().Add(time.Minute)
				endsAt := signalAt.Add(testGrace)
				time.AfterFunc(time.Minute, func() { h.f.Drain.Start(endsAt) })
				time.Sleep(time.Minute + c.request.arrives)
				synctest.Wait()
				got, answered := h.sendLate(c.request, "request-1", endsAt)
				at := time.Since(signalAt)
				h.g.Expect(answered).To(BeTrue(), "cut off with status %d", got.status)
				h.g.Expect(got.status).To(Equal(c.status), got.body)
				if c.latest > 0 {
					h.g.Expect(at).To(BeNumerically("<=", c.latest+200*time.Millisecond))
				}
				time.Sleep(time.Minute)
				switch {
				case got.status == http.StatusServiceUnavailable:
					h.g.Expect(got.header.Get("Retry-After")).To(Equal(retryLeaving.String()))
				default:
					h.g.Expect(h.receivedBy()).To(HaveLen(max(1, c.runs)))
				}
			})
		})
	}
}

// Guards against a connection that is held until the rest of a late body has come, and then closed without a status.
func TestLateBodyGetsStatusAtItsDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, idempotent, false, "a")
		c := h.keepConnection(t)
		began := time.Now()
		go func() {
			_, _ = io.WriteString(c.conn, "POST /path/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nDeadline: 500\r\nContent-Length: 4\r\n\r\nb")
			time.Sleep(5 * time.Second)
			_, _ = io.WriteString(c.conn, "ody") // fails: the connection is closed
		}()
		response, err := http.ReadResponse(c.reader, nil)
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		h.g.Expect(time.Since(began)).To(Equal(500 * time.Millisecond))
		time.Sleep(time.Minute)
		h.g.Expect(h.receivedBy()).To(BeEmpty())
	})
}

// Guards against an answer that begins at the moment at which a leaving instance ends the requests without one, and is
// then cut off although its upstream goes on.
func TestAnswerThatBeginsAtTheEndOfTheGraceIsNotCutOff(t *testing.T) {
	call := idempotent
	call.Timeout = 25 * time.Second
	const event = 100 * time.Millisecond
	longBody := func(req receivedRequest) (*http.Response, error) {
		reader, writer := io.Pipe()
		go func() {
			for pause(req.ctx, event) {
				if _, err := writer.Write(make([]byte, bufferedResponseBytes)); err != nil {
					return
				}
			}
			_ = writer.CloseWithError(req.ctx.Err())
		}()
		r := response(http.StatusOK, "")
		r.Body, r.ContentLength = reader, 1<<30
		return r, nil
	}
	for name, c := range map[string]struct {
		route  route.Route
		behave behaviour
		begins time.Duration // of the answer, after the upstream begins to answer
	}{
		"stream":                  {route: streaming, behave: sendEvents(75, event, nil), begins: event},
		"call with a long answer": {route: call, behave: longBody, begins: 2 * event},
	} {
		t.Run(name, func(t *testing.T) {
			statuses := map[int]int{}
			for range 100 {
				inVirtualTime(t, func(t *testing.T) {
					h := newHarness(t, c.route, c.route.Kind == route.Stream, "a")
					endsAt := time.Now().Add(testGrace)
					h.setBehaviour(respondAfter(testGrace-endMargin-c.begins, c.behave), "a")
					time.AfterFunc(time.Second, func() { h.f.Drain.Start(endsAt) })
					got, answered := h.sendLate(lateRequest{}, "request-1", endsAt)
					statuses[got.status]++
					if got.status == http.StatusOK {
						h.g.Expect(time.Now()).To(Equal(endsAt), "cut off before the process ended")
						return
					}
					h.g.Expect(answered).To(BeTrue())
					h.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
				})
			}
			t.Log("answers by status: ", statuses)
		})
	}
}
