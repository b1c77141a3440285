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
