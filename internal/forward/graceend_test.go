package forward

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
				case c.silentAt > 0:
					h.g.Expect(h.log.String()).To(ContainSubstring("obstacle=grace"))
				}
			})
		})
	}
}
