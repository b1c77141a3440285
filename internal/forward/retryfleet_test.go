package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against instances that together exceed the retry budget when engines refuse prompts.
func TestInstancesTogetherKeepRetryBudget(t *testing.T) {
	const (
		instances, engines = 84, 32
		perSecond          = 34 // prompts of all callers
		period             = 10 * time.Second
		ratio, allowance   = 0.8, 150
	)
	inVirtualTime(t, func(t *testing.T) {
		g := NewWithT(t)
		var names []string
		for i := range engines {
			names = append(names, strconv.Itoa(i))
		}
		var mu sync.Mutex // guards the fields below
		random := rand.New(rand.NewPCG(1, 1))
		arrivals := 0
		respond := func(req receivedRequest) (*http.Response, error) {
			mu.Lock()
			arrivals++
			refuses := random.Float64() < 0.8
			mu.Unlock()
			if refuses {
				return refuseAsNotRun(req)
			}
			return sendEvents(5, 20*time.Millisecond, nil)(req)
		}
		var fleet []*harness
		for i := range instances {
			h := newHarness(t, streaming, true, names...)
			h.f.RetryBudgets = NewRetryBudgets(ratio)
			h.pool.SetFleet(fleetOf(instances, i))
			h.setBehaviour(respond, names...)
			fleet = append(fleet, h)
		}
		requests := 0
		for began := time.Now(); time.Since(began) < period; time.Sleep(time.Second / perSecond) {
			mu.Lock()
			h := fleet[random.IntN(instances)]
			mu.Unlock()
			requests++
			go h.request(t.Context(), nil)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		retries, allowed := arrivals-requests, ratio*float64(requests)+allowance
		t.Logf("%d retries for %d requests (allowed %.0f)", retries, requests, allowed)
		g.Expect(float64(retries)).To(BeNumerically("<=", allowed))
	})
}
