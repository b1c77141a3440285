// Package placement decides which engine gets a generation and which one the copy of its KV memory,
// from load reports that are old and from what this instance has placed since.
//
// The load it answers: many instances place prompts at the same moment, each by reports of a few
// engines that are some hundred milliseconds old, while bursts and lost failure domains leave little
// KV memory. An engine that runs out of memory preempts a run and prefills it again, so a prompt that
// has no room for its whole answer costs the others.
//
// The package does no I/O and reads no clock. It must never choose an engine that is leaving or has
// not reported.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// ReportAge is the age of a load report: placements that are younger are not in it.
	ReportAge = 400 * time.Millisecond
	// pendingPrefillWeight is the load of a prefill that runs or is queued before a new prompt, in
	// streams in decode. The new prompt waits for that prefill (about a second with 8,000 tokens) and
	// then delays its tokens, while a stream in decode is only delayed.
	pendingPrefillWeight = 1.6
	// evenSpread is the difference in load, in streams, that halves the chance of an engine with as
	// many pending prompts: all instances that read the same report would otherwise choose the same
	// engine, and one placement that a report does not show yet makes such a difference.
	evenSpread = 0.75
	// copyReserveShare is the share of an engine's KV memory that stays free for prompts when it
	// takes the copy of another engine's run.
	copyReserveShare = 0.05
)

// Demand is what a generation needs of an engine.
type Demand struct {
	PromptTokens int
	OutputTokens int // at most
}

func (d Demand) tokens() int { return d.PromptTokens + d.OutputTokens }

// Engine is an engine that may get a generation.
type Engine struct {
	Report *pool.LoadReport // nil: it has not reported
	Recent int              // placements of this instance that the report does not show
	Usable bool
}

func (e Engine) eligible() bool { return e.Usable && e.Report != nil && !e.Report.Leaving }

// pending returns the prompts that a new one waits for.
func (e Engine) pending() int { return e.Report.Prefilling + e.Report.Queued + e.Recent }

// Load returns the load of the engine for a new prompt, in streams.
func (e Engine) Load() float64 {
	return float64(e.Report.Decoding) + pendingPrefillWeight*float64(e.pending())
}

// Room returns the KV tokens that are left once the demand and all present requests, which are
// assumed to be like it, have come to their ends; negative: the engine would preempt a run. ok is
// false if the size of the KV memory is unknown.
func (e Engine) Room(d Demand) (tokens int, ok bool) {
	r := e.Report
	if r.KVTokensTotal == 0 {
		return 0, false
	}
	growing := r.Decoding * d.OutputTokens / 2                       // on average half of the output is left
	prefilling := r.Prefilling * (d.PromptTokens/2 + d.OutputTokens) // half of the prompt is counted
	waiting := (r.Queued + e.Recent + 1) * d.tokens()
	return r.KVTokensTotal - r.KVTokensUsed - growing - prefilling - waiting, true
}

// Fits reports whether the engine has room for the demand.
func (e Engine) Fits(d Demand) bool {
	if e.Report == nil {
		return false
	}
	room, known := e.Room(d)
	return !known || room >= 0
}

// Idle reports whether a prompt would be prefilled at once.
func (e Engine) Idle(d Demand) bool {
	return e.Fits(d) && e.pending() == 0
}

// MayHoldCopy reports whether the engine may take the copy of a run. Copies yield to prompts: one that
// takes the last memory makes runs wait, while a run without a copy costs a prefill only if its
// engine is lost.
func (e Engine) MayHoldCopy(d Demand) bool {
	if !e.eligible() {
		return false
	}
	room, known := e.Room(d)
	return !known || float64(room) >= copyReserveShare*float64(e.Report.KVTokensTotal)
}

// Choose returns the index of the engine for a demand: one of the least loaded of those with room, or
// of all that report if none has room. It draws among those with the fewest prompts before this one.
func Choose(engines []Engine, d Demand, random *rand.Rand) (i int, ok bool) {
	if i, ok = choose(engines, random, func(e Engine) bool { return e.eligible() && e.Fits(d) }); ok {
		return i, true
	}
	return choose(engines, random, Engine.eligible)
}

func choose(engines []Engine, random *rand.Rand, accept func(Engine) bool) (chosen int, ok bool) {
	var least Engine
	for _, e := range engines {
		if accept(e) && (!ok || e.Load() < least.Load()) {
			least, ok = e, true
		}
	}
	if !ok {
		return 0, false
	}
	total := 0.0
	for i, e := range engines {
		if !accept(e) || e.pending() > least.pending() {
			continue
		}
		weight := math.Exp2((least.Load() - e.Load()) / evenSpread)
		total += weight
		if random.Float64()*total < weight {
			chosen = i
		}
	}
	return chosen, true
}

// MayBeQueued reports whether a request that has no event yet may wait for its prefill at an engine
// with a report. Such a request keeps its turn: leaving a live engine costs a retry, the prefill so far and
// a place in the next queue.
func MayBeQueued(r *pool.LoadReport) bool { return r != nil && r.Queued+r.Prefilling > 0 }
