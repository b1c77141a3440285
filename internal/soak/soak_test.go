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
	seedVariable  = "FOXTAILHUB_SEED"
	shortSpan     = 25 * time.Second
	longSpan      = 2 * time.Minute
	stepInterval  = 100 * time.Millisecond
	healSpan      = 10 * time.Second
	settleSpan    = 90 * time.Second // everything that was under way has ended
	shownNotes    = 400
	shownProblems = 10
)

// TestSoak guards all promises to callers and operators against combinations
// of faults that no test of a single part makes.
func TestSoak(t *testing.T) { soakSeeds(t, false) }

// TestSoakPoisonPrompts guards the same with contents that crash every engine: the
// engines that they crash are bounded, and nothing else is quarantined.
func TestSoakPoisonPrompts(t *testing.T) { soakSeeds(t, true) }

func soakSeeds(t *testing.T, lethal bool) {
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
			synctest.Test(t, func(t *testing.T) { soak(t, seed, span, lethal) })
		})
	}
}

func soak(t *testing.T, seed uint64, span time.Duration, lethal bool) {
	w := newWorld(t, seed, 3+int(seed%3), platformtest.Faults{})
	defer w.report(seed)
	stopped := make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { w.balance(stopped) })
	loops.Go(func() { w.restartEngines(stopped) })
	loops.Go(func() {
		for step(stopped, stepInterval) {
			w.checkVersions()
		}
	})
	w.putDocument()
	s := &schedule{world: w, lethal: lethal}
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(stepInterval) {
		w.load()
		if s.rng.IntN(5) == 0 {
			s.fault()
		}
	}
	w.note("heal")
	w.tasks.Wait()
	time.Sleep(healSpan)
	w.checkHealed()
	close(stopped)
	loops.Wait()
	w.shutDown()
	time.Sleep(settleSpan)
	w.checkEnd()
}

// putDocument submits the configuration as the first version.
func (w *world) putDocument() {
	patch, err := configuration.EncodeDocument(document())
	if err != nil {
		panic(err)
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		result, err := w.client(balancer).Endpoint().SubmitPatch(ctx, &oas.PatchRequest{PatchID: "first", Patch: patch})
		cancel()
		if !w.checkPatch("first", result, err) {
			break
		}
		time.Sleep(stepInterval)
	}
	time.Sleep(effectBound)
}

// checkRoster checks that the majority is counted over all instances again.
func (w *world) checkRoster() {
	for _, row := range w.table.Rows() {
		if row.Key != roster.Key {
			continue
		}
		r, err := roster.Decode(row.Value)
		if err != nil || len(r.Instances) != len(w.nodes) || len(r.Previous) > 0 {
			w.violation("roster after the faults: %+v %v", r, err)
		}
		return
	}
	w.violation("there is no roster")
}

// checkHealed checks that each instance serves everything after the faults.
func (w *world) checkHealed() {
	w.checkRoster()
	rng := rand.New(rand.NewPCG(1, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for _, n := range w.nodes {
		running.Go(func() {
			g := w.newGeneration(rand.New(rand.NewPCG(uint64(n.id[1]), 1)))
			if r := w.runGeneration(string(n.id), g, true); r.Verdict.Outcome != contract.Completed {
				w.violation("%s does not generate after the faults: %+v", n.id, r.Verdict)
			}
		})
		key := newKey(rng)
		running.Go(func() {
			r, err := w.submitAt(string(n.id), charges, key, callTimeout)
			if err != nil || r.Verdict.Outcome != contract.Completed {
				w.violation("%s does not call after the faults: %+v %v", n.id, r.Verdict, err)
			}
		})
	}
}

// shutDown drains all instances and ends the engines.
func (w *world) shutDown() {
	var draining sync.WaitGroup
	for _, n := range w.nodes {
		draining.Go(n.drainAndStop)
	}
	draining.Wait()
	for _, e := range w.engines {
		e.Close()
	}
}

// report shows what happened.
func (w *world) report(seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(w.counts)) {
		w.t.Logf("%6d %s", w.counts[what], what)
	}
	if len(w.violations) == 0 {
		return
	}
	for _, note := range w.notes[max(0, len(w.notes)-shownNotes):] {
		w.t.Log(note)
	}
	for _, problem := range w.violations[:min(len(w.violations), shownProblems)] {
		w.t.Errorf("seed %d: %s", seed, problem)
	}
}
