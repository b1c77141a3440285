package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// Guards against a request that is cut off at the end of the grace time without a log line that says what it waited for.
func TestRequestsAtTheEndOfTheGraceAreLogged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		route := idempotent
		route.Timeout = 10 * time.Second
		h := newHarness(t, route, false, "a")
		h.setBehaviour(respondAfter(9*time.Second, respondWith(http.StatusOK, "answer")), "a")
		done := make(chan callerResult)
		go func() { done <- h.request(t.Context(), nil) }()
		time.Sleep(time.Second)
		h.f.Drain.Start(time.Now().Add(8 * time.Second))
		<-done
		h.g.Expect(h.log.String()).To(MatchRegexp(
			`request in progress at the end of the grace time" age_ms=8800 grace_left_ms=200 request=request-1 waits_for=answer`))
	})
}

// Guards against a stream without an event that leaves a silent or stalled upstream for one that can't finish it before
// the end of the grace time, and against one that stays although it could be finished or has begun.
func TestStreamStaysAtSilentUpstreamNearTheEndOfTheGrace(t *testing.T) {
	const events = 30
	answersAt := func(d time.Duration) behaviour { return respondAfter(d, sendEvents(events, testInterval, nil)) }
	for name, c := range map[string]struct {
		behave   behaviour // of the first upstream
		silentAt time.Duration
		turnAt   time.Duration // when few enough others move; 0: always
		grace    time.Duration
		moves    bool
	}{
		"silent":                {behave: answersAt(5 * time.Second), silentAt: 2 * time.Second, grace: testGrace},
		"stalled":               {behave: answersAt(firstEventTimeout + time.Second), grace: testGrace},
		"its turn comes late":   {behave: answersAt(5 * time.Second), silentAt: 100 * time.Millisecond, turnAt: 1900 * time.Millisecond, grace: testGrace},
		"silent, time is left":  {behave: answersAt(time.Hour), silentAt: 2 * time.Second, grace: 2 * testGrace, moves: true},
		"stalled, time is left": {behave: answersAt(time.Hour), grace: 2 * testGrace, moves: true},
		"silent after an event": {behave: respondAfter(5*time.Second, sendEvents(1, testInterval, errHang)), silentAt: 5100 * time.Millisecond, grace: testGrace, moves: true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, streaming, true, "a", "b")
				h.seeStreams(time.Second)
				h.setBehaviour(c.behave, "a")
				h.setBehaviour(sendEvents(events, testInterval, nil), "b")
				h.markAllLostBut("a")
				if c.silentAt > 0 {
					time.AfterFunc(c.silentAt, func() { h.setSilent("a", true) })
				}
				if c.turnAt > 0 {
					for range maxMovingStreams {
						h.f.movingStreams <- struct{}{}
					}
					time.AfterFunc(c.turnAt, func() { <-h.f.movingStreams })
				}
				endsAt := time.Now().Add(500*time.Millisecond + c.grace)
				time.AfterFunc(500*time.Millisecond, func() { h.f.Drain.Start(endsAt) })
				got, answered := h.sendLate(lateRequest{}, "request-1", endsAt)
				h.g.Expect(answered).To(BeTrue())
				h.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
				h.g.Expect(got.body).To(Equal(eventsText(1, events)))
				if c.moves {
					h.g.Expect(h.receivedBy()).To(Equal([]string{"a", "b"}))
					return
				}
				h.g.Expect(h.receivedBy()).To(Equal([]string{"a"}))
				switch {
				case c.turnAt > 0:
					h.g.Expect(h.log.String()).To(ContainSubstring("obstacle=moves"))
					h.g.Expect(h.f.movingStreams).To(HaveLen(maxMovingStreams-1), "a turn that is not used is given back")
				case c.silentAt > 0:
					h.g.Expect(h.log.String()).To(ContainSubstring("obstacle=grace"))
				}
			})
		})
	}
}

// respondSlowly responds with a status and a body whose second part follows after a pause. length is stated; -1: none.
func respondSlowly(status int, begin string, wait time.Duration, rest string, length int) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, begin) // an error means that the answer was left
			if !pause(req.ctx, wait) {
				_ = writer.CloseWithError(req.ctx.Err())
				return
			}
			_, _ = io.WriteString(writer, rest)
			_ = writer.Close()
		}()
		r := response(status, "")
		r.Body, r.ContentLength = reader, int64(length)
		return r, nil
	}
}

// exchangeAll sends a request and returns the answer, and what follows it on the connection.
func (c keptConnection) exchangeAll() (status int, body, more string) {
	_, err := io.WriteString(c.conn, "POST /path/ HTTP/1.1\r\nHost: host\r\nId: request-1\r\nContent-Length: 4\r\n\r\nbody")
	c.h.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.reader, nil)
	c.h.g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(response.Body)
	c.h.g.Expect(err).NotTo(HaveOccurred(), "status %d, cut off after %d bytes", response.StatusCode, len(got))
	after, err := io.ReadAll(c.reader)
	c.h.g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(got), string(after)
}

// Guards against a stream that gets a second answer, or one that is cut off, because the long answer of its upstream
// arrives at the moment at which a leaving instance ends the requests without an answer.
func TestLongAnswerToStreamAtTheEndOfTheGraceIsNotCutOff(t *testing.T) {
	const runs, callers = 50, 20
	begin, rest := strings.Repeat("b", readChunkBytes), strings.Repeat("r", 1000)
	for _, length := range []int{-1, len(begin) + len(rest)} {
		t.Run(fmt.Sprint("length=", length), func(t *testing.T) {
			answers := map[int]int{}
			for range runs {
				inVirtualTime(t, func(t *testing.T) {
					h := newHarness(t, streaming, true, "a")
					h.f.BodyMemory = NewBodyMemory(readChunkBytes-1, h.f.Log) // no answer fits, so that its rest is read on delivery
					endsAt := time.Now().Add(testGrace)
					h.setBehaviour(respondAfter(testGrace-endMargin, respondSlowly(http.StatusNotFound, begin, endMargin/2, rest, length)), "a")
					var mu sync.Mutex // guards answers
					var done sync.WaitGroup
					for range callers {
						c := h.keepConnection(t)
						done.Go(func() {
							status, body, more := c.exchangeAll()
							h.g.Expect(more).To(BeEmpty())
							switch status {
							case http.StatusNotFound:
								h.g.Expect(body == begin+rest).To(BeTrue(), "%d bytes", len(body))
							default:
								h.g.Expect(status).To(Equal(http.StatusGatewayTimeout))
								h.g.Expect(body).To(ContainSubstring("leaving"))
							}
							mu.Lock()
							defer mu.Unlock()
							answers[status]++
						})
					}
					time.AfterFunc(time.Second, func() { h.f.Drain.Start(endsAt) })
					done.Wait()
					h.g.Expect(h.receivedBy()).To(HaveLen(callers))
				})
			}
			t.Log("answers by status: ", answers)
		})
	}
}

// Guards against answers that arrived while the process was paused, and whose callers get 504 because SIGTERM, which may
// have been sent at the beginning of the pause, is handled before them.
func TestAnswersOfAPauseAreDeliveredAfterTheEndOfTheGrace(t *testing.T) {
	const handledAfter = 10 * time.Second
	call := idempotent
	call.Timeout = 25 * time.Second
	for name, c := range map[string]struct {
		route    route.Route
		behave   behaviour
		sentAt   time.Duration // after SIGTERM was handled; negative: before
		status   int
		answered time.Duration // after SIGTERM was handled
	}{
		"call, answer waits":   {call, respondWith(http.StatusOK, "answer"), -handledAfter, http.StatusOK, catchUpTime / 2},
		"stream, event waits":  {streaming, sendEvents(1, catchUpTime/4, nil), -handledAfter, http.StatusOK, 3 * catchUpTime / 4},
		"call without answer":  {call, neverRespond, -handledAfter, http.StatusGatewayTimeout, catchUpTime},
		"stream without event": {streaming, neverRespond, -handledAfter, http.StatusGatewayTimeout, catchUpTime},
		"later call":           {call, respondWith(http.StatusOK, "answer"), catchUpTime / 4, http.StatusServiceUnavailable, catchUpTime / 4},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				h := newHarness(t, c.route, c.route.Kind == route.Stream, "a")
				handledAt := time.Now().Add(handledAfter)
				h.setBehaviour(respondAfter(handledAfter+catchUpTime/2, c.behave), "a")
				time.AfterFunc(handledAfter, func() { h.f.Drain.Start(handledAt.Add(-time.Second)) })
				time.Sleep(handledAfter + c.sentAt)
				got := h.request(t.Context(), nil)
				h.g.Expect(got.status).To(Equal(c.status), got.body)
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(time.Since(handledAt)).To(Equal(c.answered))
			})
		})
	}
}
