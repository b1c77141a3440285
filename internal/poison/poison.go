// Package poison decides which parts of prompts crash the upstreams that begin to write an
// answer on them (poison parts), from crashes and successes at all instances.
//
// The package does no I/O and reads no clock. It must never refuse a prompt that lacks a
// part of every verdict, and must never blame a part on one moment or one failure domain.
package poison

import "time"

// Part identifies a part of a prompt by a hash of its ID.
type Part uint64

// Prompt holds the parts that a prompt can share with others: all but the last one, which
// belongs to the request or its session. Parts are distinct.
type Prompt []Part

// NewPrompt returns the prompt with the given part IDs, in order; the last ID is left out.
func NewPrompt(ids []string) Prompt { return nil }

// Crash is the end of an upstream process with the prompts that may have caused it: those
// whose answers had not begun, or had only just begun.
type Crash struct {
	UpstreamID    string
	FailureDomain string
	Prompts       []Prompt
	At            time.Time // on the clock of this instance
}

// Verdict is a set of parts. A prompt that contains all of them is refused. It has several
// parts if crashes do not show which of them is the cause.
type Verdict struct {
	Parts []Part // in ascending order
}

// ID identifies a verdict at all instances.
func (v Verdict) ID() string { return "" }

// Ledger holds the evidence and the verdicts of one instance. Its methods may be called
// concurrently; Refuses takes no lock.
type Ledger struct{}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger { return &Ledger{} }

// AddCrash adds the evidence of a crash that this or another instance has seen, and returns
// the verdicts that are new with it. Evidence about one upstream process is merged.
func (l *Ledger) AddCrash(now time.Time, crash Crash) []Verdict { return nil }

// AddSuccess records that answers on parts began and went on at a time, at this or another
// instance. It returns the parts with evidence against them, which other instances have to
// be informed about, and the verdicts that no longer hold.
func (l *Ledger) AddSuccess(now, at time.Time, parts []Part) (contradicted []Part, lifted []Verdict) {
	return nil, nil
}

// KnownGood returns those of the parts on which an answer is known to have gone on lately,
// each with the time of the last one.
func (l *Ledger) KnownGood(now time.Time, parts []Part) map[Part]time.Time { return nil }

// Adopt adds a verdict of another instance or of a time before a restart.
func (l *Ledger) Adopt(now time.Time, v Verdict) {}

// Lift removes a verdict together with its evidence. It has no effect on other verdicts.
func (l *Ledger) Lift(now time.Time, id string) {}

// Refuses returns the verdict by which a prompt is refused.
func (l *Ledger) Refuses(p Prompt) (Verdict, bool) { return Verdict{}, false }

// Changed returns a channel that is closed at the next change of the verdicts.
func (l *Ledger) Changed() <-chan struct{} { return nil }
