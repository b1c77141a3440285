package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform/platformtest"
	"foxtailhub.example/foxtailhub/internal/roster"
)

const (
	seedVariable          = "FOXTAILHUB_SEED"
	shortSpan             = 25 * time.Second
	longSpan              = 2 * time.Minute
	stepInterval          = 100 * time.Millisecond
	recoverySpan          = 10 * time.Second
	settleSpan            = 90 * time.Second // until all work in progress has ended
	maxReportedNotes      = 400
	maxReportedViolations = 10
)

// TestSoak checks all guarantees to callers and operators under combinations of
// faults that no unit test covers.
func TestSoak(t *testing.T) { soakSeeds(t, false) }

// TestSoakPoisonPrompts is TestSoak with poison prompts, which crash every
// engine: the number of crashes is bounded and no other content is quarantined.
func TestSoakPoisonPrompts(t *testing.T) { soakSeeds(t, true) }

func soakSeeds(t *testing.T, sendsPoison bool) {
	seeds, span := []uint64{1, 2, 3, 4}, shortSpan
	if value := os.Getenv(seedVariable); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
		seeds, span = []uint64{seed}, longSpan
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { soak(t, seed, span, sendsPoison) })
		})
	}
}

func soak(t *testing.T, seed uint64, span time.Duration, sendsPoison bool) {
	h := newHarness(t, seed, 3+int(seed%3), platformtest.Faults{})
	defer h.report(seed)
	stopped := make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { h.updateRotation(stopped) })
	loops.Go(func() { h.restartEngines(stopped) })
	loops.Go(func() {
		for sleepUnlessStopped(stopped, stepInterval) {
			h.checkVersions()
		}
	})
	h.submitFirstConfiguration()
	injector := &faultInjector{harness: h, sendsPoison: sendsPoison}
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(stepInterval) {
		h.startRequest()
		if injector.rng.IntN(5) == 0 {
			injector.injectFault()
		}
	}
	h.note("heal")
	h.tasks.Wait()
	time.Sleep(recoverySpan)
	h.checkRecovered()
	close(stopped)
	loops.Wait()
	h.shutDown()
	time.Sleep(settleSpan)
	h.checkEnd()
}

// submitFirstConfiguration submits the first version and waits until it is in force.
func (h *harness) submitFirstConfiguration() {
	patch, err := configuration.EncodeDocument(document())
	if err != nil {
		panic(err)
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := h.client(balancer).NextEndpoint().SubmitPatch(ctx, &oas.PatchRequest{PatchID: "first", Patch: patch})
		cancel()
		if !h.checkPatch("first", result, err) {
			break
		}
		time.Sleep(stepInterval)
	}
	time.Sleep(inForceBound)
}

// checkRoster checks that the roster has all instances and that no change is in progress.
func (h *harness) checkRoster() {
	for _, row := range h.table.Rows() {
		if row.Key != roster.Key {
			continue
		}
		r, err := roster.Decode(row.Value)
		if err != nil || len(r.Instances) != len(h.nodes) || len(r.Previous) > 0 {
			h.violation("roster after the faults: %+v %v", r, err)
		}
		return
	}
	h.violation("the table has no roster row")
}

// checkRecovered checks that each instance serves generations and calls after the faults.
func (h *harness) checkRecovered() {
	h.checkRoster()
	rng := rand.New(rand.NewPCG(1, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for _, n := range h.nodes {
		running.Go(func() {
			g := h.newGeneration(rand.New(rand.NewPCG(uint64(n.id[1]), 1)))
			if r := h.runGeneration(string(n.id), g, true); r.Verdict.Outcome != contract.Completed {
				h.violation("%s: generation not completed after the faults: %+v", n.id, r.Verdict)
			}
		})
		key := newKey(rng)
		running.Go(func() {
			r, err := h.submitAt(string(n.id), charges, key, callTimeout)
			if err != nil || r.Verdict.Outcome != contract.Completed {
				h.violation("%s: call not completed after the faults: %+v %v", n.id, r.Verdict, err)
			}
		})
	}
}

// shutDown drains all instances and closes the engines.
func (h *harness) shutDown() {
	var draining sync.WaitGroup
	for _, n := range h.nodes {
		draining.Go(n.drainAndStop)
	}
	draining.Wait()
	for _, e := range h.engines {
		e.Close()
	}
}

// report logs the counts of outcomes and, after a violation, the last notes.
func (h *harness) report(seed uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(h.counts)) {
		h.t.Logf("%6d %s", h.counts[name], name)
	}
	if len(h.violations) == 0 {
		return
	}
	for _, note := range h.notes[max(0, len(h.notes)-maxReportedNotes):] {
		h.t.Log(note)
	}
	for _, violation := range h.violations[:min(len(h.violations), maxReportedViolations)] {
		h.t.Errorf("seed %d: %s", seed, violation)
	}
}
