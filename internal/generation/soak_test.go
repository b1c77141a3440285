package generation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

const (
	soakGenerations = 12
	soakConnects    = 60              // maximum for each caller
	soakIdleTimeout = 5 * time.Second // a caller reconnects after this time without an event
)

// soakSeeds returns the seeds of CI, or only the one in FOXTAILHUB_SEED.
func soakSeeds(t *testing.T) []uint64 {
	value := os.Getenv("FOXTAILHUB_SEED")
	if value == "" {
		return []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	}
	seed, err := strconv.ParseUint(value, 10, 64)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return []uint64{seed}
}

// Guards against combinations of faults that violate P1, P2 or P3 although no
// single fault does. The naive version must violate them with the same seeds.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := NewWithT(t)
			result := soak(t, seed, false)
			t.Logf("real: %+v", result)
			g.Expect(result.violations).To(BeEmpty())
			// The fake router attributes each random kill to the content, so that a
			// quarantine is a correct outcome with the seeds that count crashes.
			quarantined := result.otherReasons[contract.ReasonQuarantined]
			g.Expect(result.completed + quarantined).To(BeNumerically(">=", soakGenerations*5/6))
			if !countsCrashes(seed) {
				g.Expect(quarantined).To(BeZero())
			}
			simple := soak(t, seed, true)
			t.Logf("naive: %d violations, %d completed", len(simple.violations), simple.completed)
			g.Expect(simple.violations).NotTo(BeEmpty())
		})
	}
}

func countsCrashes(seed uint64) bool { return seed%4 >= 2 }

// soakResult counts the outcomes of the callers of a run.
type soakResult struct {
	mu           sync.Mutex // guards all fields
	violations   []string
	completed    int
	otherReasons map[contract.Reason]int
	maxGap       time.Duration
}

func soak(t *testing.T, seed uint64, useNaive bool) *soakResult {
	result := &soakResult{otherReasons: map[contract.Reason]int{}}
	synctest.Test(t, func(t *testing.T) {
		policy := configuration.ResumeSparing
		if seed%2 == 0 {
			policy = configuration.ResumeFast
		}
		h := newHarness(t, policy, useNaive)
		h.router.IgnoreCrashes(!countsCrashes(seed))
		defer h.close()
		var callers sync.WaitGroup
		for i := range soakGenerations {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i+1)))
				h.soakCaller(fmt.Sprintf("request-%d", i), random, result)
			})
		}
		done := make(chan struct{})
		go func() {
			callers.Wait()
			close(done)
		}()
		h.injectFaults(rand.New(rand.NewPCG(seed, 0)), done)
	})
	return result
}

// injectFaults injects and clears random faults until all callers are done.
func (h *harness) injectFaults(random *rand.Rand, done <-chan struct{}) {
	for {
		pause := time.Duration(50+random.IntN(900)) * time.Millisecond
		select {
		case <-time.After(pause):
			h.injectFault(random)
		case <-done:
			for _, d := range h.dialers {
				d.SetSevered(false)
			}
			return
		}
	}
}

func (h *harness) injectFault(random *rand.Rand) {
	e := h.engines[random.IntN(len(h.engines))]
	recovery := time.Duration(random.IntN(4000)) * time.Millisecond
	switch random.IntN(10) {
	case 0:
		e.Kill()
		time.AfterFunc(recovery, e.Restart)
	case 1:
		e.Pause()
		time.AfterFunc(recovery, e.Unpause)
	case 2:
		e.CutConnections()
	case 3:
		e.SilenceConnections()
	case 4:
		e.SkipToken()
	case 5:
		e.DuplicateToken()
	case 6:
		e.InjectOtherRequestToken()
	case 7:
		e.InjectOldStreamToken()
	case 8:
		e.SetRefusing(true)
		time.AfterFunc(recovery, func() { e.SetRefusing(false) })
	case 9:
		d := h.dialers[random.IntN(len(h.dialers))]
		d.SetSevered(true)
		time.AfterFunc(recovery, func() { d.SetSevered(false) })
	}
}

// soakCaller reads one generation over several connections.
func (h *harness) soakCaller(key string, random *rand.Rand, result *soakResult) {
	c := h.caller(key)
	time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	for range soakConnects {
		c.request.QueueUntil = time.Now().Add(10 * time.Second)
		if c.connect(random.IntN(len(h.instances)), true) {
			c.readFor(10 + random.IntN(testTokens))
		} else {
			time.Sleep(time.Second)
		}
		if c.end != nil && c.end.Verdict.Outcome == contract.Interrupted {
			c.end = nil // send the same request again with the text received
		}
		if c.end != nil || c.refused.Outcome == contract.Quarantined {
			break
		}
	}
	if c.sub != nil {
		c.sub.Close()
	}
	result.add(c)
}

// readFor reads up to n more tokens; it stops after soakIdleTimeout.
func (c *caller) readFor(n int) {
	target := len(c.texts) + n
	for len(c.texts) < target && c.end == nil && !c.broken {
		ctx, cancel := context.WithTimeout(c.h.t.Context(), soakIdleTimeout)
		event, err := c.sub.Next(ctx)
		cancel()
		if err != nil {
			return
		}
		c.handleEvent(event)
	}
}

func (r *soakResult) add(c *caller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxGap = max(r.maxGap, c.maxGap)
	wrong := upstreamtest.FirstInvalidToken(c.request.Prompt, testPin, c.texts, c.h.nonces)
	completed := c.end != nil && c.end.Verdict.Outcome == contract.Completed
	switch {
	case wrong >= 0:
		r.violations = append(r.violations, fmt.Sprintf("%s: token %d", c.request.ID.Key, wrong))
	case c.end != nil && c.end.Verdict.Outcome == contract.NotRun && len(c.texts) > 0:
		r.violations = append(r.violations, c.request.ID.Key+": not_run after tokens")
	case completed && c.violation() != "":
		r.violations = append(r.violations, c.request.ID.Key+": "+c.violation())
	case completed:
		r.completed++
	case c.end != nil:
		r.otherReasons[c.end.Verdict.Reason]++
	default:
		r.otherReasons[c.refused.Reason]++
	}
}
