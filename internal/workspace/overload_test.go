package workspace_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Guards against requests that are queued and refused only after later arrivals
// of a lighter workspace were ordered before them (P10), and against a margin
// that leaves slots idle or costs the light workspace its share. Load: twice
// the capacity for a minute, four fifths of it from one workspace.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	const (
		capacity = 8
		hold     = 800 * time.Millisecond
		window   = time.Minute
	)
	holds := map[string]func(*rand.Rand) time.Duration{
		"equal holds":       func(*rand.Rand) time.Duration { return hold },
		"exponential holds": func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(hold)) },
	}
	for name, draw := range holds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				unlimited := configuration.Workspace{RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6}
				a := newAdmission(t, capacity, map[contract.WorkspaceID]configuration.Workspace{"heavy": unlimited, "light": unlimited})
				random := rand.New(rand.NewPCG(1, 0))
				var mu sync.Mutex // guards the counters
				var refused, refusedLate, light, lightRefused int
				var busy time.Duration
				request := func(id contract.WorkspaceID, held time.Duration, end time.Time) {
					began := time.Now()
					release, _, ok := a.Admit(context.Background(), newRequest(id, "notes", upstream.PriorityInteractive, 3200*time.Millisecond))
					waited := time.Since(began)
					if ok {
						time.Sleep(held)
						release()
					}
					mu.Lock()
					defer mu.Unlock()
					switch {
					case ok:
						busy += max(0, min(held, end.Sub(began.Add(waited))))
					case id == "light":
						lightRefused++
						fallthrough
					default:
						refused++
						if waited > 100*time.Millisecond {
							refusedLate++
						}
					}
				}
				var group sync.WaitGroup
				end := time.Now().Add(window)
				for time.Now().Before(end) {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(hold) / (2 * capacity)))
					id := contract.WorkspaceID("heavy")
					if random.Float64() < 0.2 {
						id = "light"
						light++
					}
					held := draw(random)
					group.Go(func() { request(id, held, end) })
				}
				group.Wait()
				t.Logf("refused %d, late %d, light %d, refused %d, busy %v", refused, refusedLate, light, lightRefused, busy/capacity)
				g.Expect(refused).To(BeNumerically(">", 400))
				g.Expect(refusedLate).To(BeNumerically("<=", refused/20))
				g.Expect(lightRefused).To(BeNumerically("<=", light/100))
				g.Expect(busy).To(BeNumerically(">=", capacity*window*95/100))
			})
		})
	}
}
