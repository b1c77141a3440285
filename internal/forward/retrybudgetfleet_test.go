package forward

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// The users' limit of the retries of all instances together.
const (
	usersRatio     = 0.8
	usersAllowance = 150
	usersWindow    = 10 * time.Second
)

const (
	fleetDomains      = 4 // failure domains of the engines
	fleetStreamEvents = 25
	fleetInterval     = 160 * time.Millisecond // between two events
)

// retryFleet is a fleet of instances before engines that refuse and crash, in virtual time.
type retryFleet struct {
	t         *testing.T
	instances []*harness
	names     []string
	crash     chan struct{} // closed when the engines of the first failure domain crash

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	refuses  float64         // share of the requests that engines refuse
	sent     map[string]bool // numbers of requests that have arrived once
	requests []time.Time
	retries  []time.Time
	lost     int // runs that the crash ended within their stream
	complete int
	cut      int // streams that ended without their last event
	refused  int
}

func newRetryFleet(t *testing.T, instances, engines int) *retryFleet {
	f := &retryFleet{t: t, random: rand.New(rand.NewPCG(1, 1)), crash: make(chan struct{}), sent: map[string]bool{}}
	for i := range engines {
		f.names = append(f.names, strconv.Itoa(i))
	}
	for i := range instances {
		f.instances = append(f.instances, f.newInstance(fleetOf(instances, i)))
	}
	return f
}

func (f *retryFleet) newInstance(fleet *fleetrate.Fleet) *harness {
	h := newHarness(f.t, streaming, true)
	h.f.RetryBudgets = NewRetryBudgets(usersRatio)
	h.pool.SetFleet(fleet)
	var list []pool.Upstream
	for i, name := range f.names {
		list = append(list, pool.Upstream{ID: name, Service: "service", Address: name, FailureDomain: strconv.Itoa(i % fleetDomains), Slots: 16, StartedAt: 1})
	}
	h.pool.Replace(list)
	h.setBehaviour(f.respond, f.names...)
	return h
}

func (f *retryFleet) crashes(engine string) bool {
	number, _ := strconv.Atoi(engine)
	return number%fleetDomains == 0
}

// respond is the behaviour of the engines.
func (f *retryFleet) respond(req receivedRequest) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := req.header.Get("Number")
	if f.sent[number] {
		f.retries = append(f.retries, time.Now())
	}
	f.sent[number] = true
	if f.random.Float64() < f.refuses {
		return refuseAsNotRun(req)
	}
	last, _ := strconv.Atoi(req.header.Get("Last"))
	reader, writer := io.Pipe()
	go func() {
		_ = writer.CloseWithError(f.sendEvents(req, writer, last))
	}()
	r := response(http.StatusOK, "")
	r.Body = reader
	return r, nil
}

func (f *retryFleet) sendEvents(req receivedRequest, w io.Writer, last int) error {
	crash := f.crash
	if !f.crashes(req.upstream) {
		crash = nil
	}
	for id := last + 1; id <= fleetStreamEvents; id++ {
		select {
		case <-time.After(fleetInterval):
		case <-crash:
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lost++
			return errReset
		case <-req.ctx.Done():
			return req.ctx.Err()
		}
		if _, err := w.Write([]byte(eventText(id))); err != nil {
			return err
		}
	}
	return nil
}

// crashDomain ends the engines of the first failure domain; they refuse connections from then on.
func (f *retryFleet) crashDomain() {
	for _, h := range f.instances {
		f.loseDomain(h)
	}
	close(f.crash)
}

func (f *retryFleet) loseDomain(h *harness) {
	for _, name := range f.names {
		if f.crashes(name) {
			h.setSilent(name, true)
			h.setBehaviour(nil, name)
		}
	}
}

func (f *retryFleet) setRefusals(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = share
}

// sendFor sends requests of callers to random instances.
func (f *retryFleet) sendFor(period time.Duration, perSecond int) {
	for began := time.Now(); time.Since(began) < period; time.Sleep(time.Second / time.Duration(perSecond)) {
		f.mu.Lock()
		h := f.instances[f.random.IntN(len(f.instances))]
		number := strconv.Itoa(len(f.requests))
		f.requests = append(f.requests, time.Now())
		f.mu.Unlock()
		go func() {
			got := h.request(f.t.Context(), map[string]string{"Number": number})
			f.mu.Lock()
			defer f.mu.Unlock()
			switch {
			case got.body == eventsText(1, fleetStreamEvents):
				f.complete++
			case got.aborted:
				f.cut++
			default:
				f.refused++
			}
		}()
	}
}

// worstExcess waits for the end of all requests, and returns the most retries in a window beyond
// the users' limit, which counts the requests of that window, of the one before or of the one
// half a window before.
func (f *retryFleet) worstExcess() float64 {
	time.Sleep(30 * time.Second)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := math.Inf(-1)
	most := 0
	for _, end := range f.retries {
		requests := max(inWindow(f.requests, end), inWindow(f.requests, end.Add(-usersWindow)), inWindow(f.requests, end.Add(-usersWindow/2)))
		most = max(most, inWindow(f.retries, end))
		worst = max(worst, float64(inWindow(f.retries, end))-usersRatio*float64(requests)-usersAllowance)
	}
	f.t.Logf("%d instances: %d requests, %d complete, %d refused, %d cut of %d lost in the crash; %d retries, %d in a window, %.0f beyond the limit",
		len(f.instances), len(f.requests), f.complete, f.refused, f.cut, f.lost, len(f.retries), most, worst)
	return worst
}

// inWindow returns how many of the times are in the window that ends at a time.
func inWindow(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if at.After(end.Add(-usersWindow)) && !at.After(end) {
			n++
		}
	}
	return n
}

// Guards against retries of small and large fleets that exceed the users' limit when engines refuse prompts.
func TestFleetsOfAllSizesKeepRetryBudget(t *testing.T) {
	for _, test := range []struct{ instances, perSecond int }{{6, 34}, {84, 34}, {84, 10}, {300, 60}} {
		t.Run(fmt.Sprint(test.instances, " instances, ", test.perSecond, " a second"), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newRetryFleet(t, test.instances, 32)
				f.sendFor(usersWindow, test.perSecond)
				f.setRefusals(0.8)
				f.sendFor(12*time.Second, test.perSecond)
				NewWithT(t).Expect(f.worstExcess()).To(BeNumerically("<=", 0))
			})
		})
	}
}

// Guards against streams that are cut after the crash of a failure domain because retries after
// refusals have used up the budget.
func TestStreamsResumeAfterCrashBesideRefusals(t *testing.T) {
	for _, test := range []struct{ instances, perSecond int }{{6, 34}, {84, 34}, {300, 60}} {
		for refuses, mayCut := range map[float64]float64{0: 0, 0.3: 0.04, 0.6: 0.25} {
			t.Run(fmt.Sprint(test.instances, " instances, ", refuses, " refused"), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					f := newRetryFleet(t, test.instances, 32)
					f.sendFor(usersWindow, test.perSecond)
					f.setRefusals(refuses)
					f.sendFor(3*time.Second, test.perSecond)
					f.crashDomain()
					f.sendFor(8*time.Second, test.perSecond)
					g := NewWithT(t)
					g.Expect(f.worstExcess()).To(BeNumerically("<=", 0))
					g.Expect(f.lost).To(BeNumerically(">=", 10))
					g.Expect(float64(f.cut)).To(BeNumerically("<=", mayCut*float64(f.lost)))
				})
			})
		}
	}
}

// Guards against instances that exceed the users' limit while the list of instances changes, or
// while those that restart cannot read it.
func TestChangingFleetKeepsRetryBudget(t *testing.T) {
	unknown := func(fleet *fleetrate.Fleet) { fleet.SettledAt, fleet.Instances = time.Time{}, nil }
	notCounted := func(fleet *fleetrate.Fleet) { fleet.SettledAt = time.Now().Add(15 * time.Second) }
	for name, change := range map[string]func(f *retryFleet){
		"a third leaves": func(f *retryFleet) {
			f.instances = f.instances[:56]
			for i, h := range f.instances {
				h.pool.SetFleet(fleetOf(56, i))
			}
		},
		"a quarter starts": func(f *retryFleet) {
			for i := range 21 {
				fleet := fleetOf(105, 84+i)
				notCounted(fleet)
				f.instances = append(f.instances, f.newInstance(fleet))
			}
		},
		"all restart": func(f *retryFleet) {
			for i := range f.instances {
				f.instances[i] = f.newInstance(fleetOf(84, i))
			}
		},
		"all restart with the store away": func(f *retryFleet) {
			for i := range f.instances {
				fleet := fleetOf(84, i)
				unknown(fleet)
				f.instances[i] = f.newInstance(fleet)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newRetryFleet(t, 84, 32)
				f.sendFor(usersWindow, 34)
				f.setRefusals(0.8)
				f.sendFor(4*time.Second, 34)
				change(f)
				f.sendFor(12*time.Second, 34)
				NewWithT(t).Expect(f.worstExcess()).To(BeNumerically("<=", 0))
			})
		})
	}
}

// Guards against parts of the common budget that add up to more than the users' limit when
// requests and retries are distributed unevenly over the instances and over time.
func TestCommonBudgetsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SampledFrom([]int{1, 6, 9, 10, 84, 150}).Draw(t, "instances")
		engines := rapid.Bool().Draw(t, "engines")
		part := usersAllowance / float64(instances)
		buckets := make([]retryBucket, instances)
		for i := range buckets {
			buckets[i] = retryBucket{ratio: usersRatio, engines: engines}.withPart(part)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			first := rapid.IntRange(0, instances-1).Draw(t, "first")
			last := rapid.IntRange(first, instances-1).Draw(t, "last")
			count := rapid.IntRange(0, 20).Draw(t, "requests")
			for i := first; i <= last; i++ {
				for range count {
					buckets[i] = buckets[i].deposit(now, part)
					requests = append(requests, now)
				}
				for ok := count%2 == 0; ok; {
					if buckets[i], ok = buckets[i].take(now, otherRetry); ok {
						retries = append(retries, now)
					}
				}
			}
			allowed := usersRatio*float64(max(inWindow(requests, now), inWindow(requests, now.Add(-usersWindow)))) + usersAllowance
			if n := inWindow(retries, now); float64(n) > allowed {
				t.Fatalf("%d retries in a window, %v are allowed", n, allowed)
			}
		}
	})
}
