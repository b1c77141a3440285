package forward

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/route"
)

// Guards against a number in the configuration that makes all requests of a route fail, or ends
// the process for lack of memory.
func TestLargestNumbersInConfiguration(t *testing.T) {
	const longest = time.Duration(math.MaxInt64)
	for _, kind := range []route.Kind{route.AtMostOnce, route.Idempotent, route.Stream} {
		for name, r := range map[string]route.Route{
			"attempts":     {MaxAttempts: math.MaxInt, Timeout: time.Second},
			"few attempts": {MaxAttempts: math.MinInt, Timeout: time.Second},
			"times":        {MaxAttempts: 2, Timeout: longest, LatencyGoal: longest, GapTarget: longest},
			"past times":   {MaxAttempts: 2, Timeout: -longest, LatencyGoal: -longest, GapTarget: -longest},
		} {
			t.Run(fmt.Sprint(kind, " ", name), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					r.Name, r.Kind, r.Resumable = "odd", kind, true
					h := newHarness(t, r, kind == route.Stream, "a", "b")
					h.table.Limits = route.Limits{HeaderBytes: math.MaxInt, BodyBytes: math.MaxInt64, HeaderTimeout: longest, IdleTimeout: longest}
					h.setBehaviour(sendEvents(3, time.Millisecond, nil), "a", "b")
					got := h.request(t.Context(), nil)
					h.g.Expect(got.status).To(Equal(http.StatusOK))
					h.g.Expect(got.body).To(Equal(eventsText(1, 3)))
				})
			})
		}
	}
}
