// Package poison decides how runs of requests at upstreams ended, and from that which requests and
// which parts of prompts crash the upstreams that begin to answer them (poison requests and parts).
//
// A request is quarantined after three lost processes (Quarantine). Parts are shared by prompts, so
// more is needed to convict one (Ledger):
//
// A part is convicted by crashes at several times and in several failure domains without a success
// on it. Nothing but a success shows that a part is innocent, so an innocent part that is rare may be
// convicted by unrelated crashes. It needs as many crashes as a poison part and must not be
// explained by another part, its verdict covers only prompts with all parts that came with it in each of
// the crashes, and callers of the package let single requests through after a while: their success lifts
// the verdict at all instances.
//
// The package does no I/O and reads no clock. It must never refuse a prompt that lacks a
// part of every verdict, and must never blame a part on crashes of one moment.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

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
func (v Verdict) ID() string {
	hash := sha256.New()
	for _, part := range v.Parts {
		_, _ = hash.Write([]byte(part.String())) // never fails
	}
	return hex.EncodeToString(hash.Sum(nil)[:8])
}

// matches reports whether a prompt contains all parts of the verdict.
func (v Verdict) matches(p Prompt) bool {
	if len(v.Parts) == 0 || len(v.Parts) > len(p) {
		return false
	}
	for _, part := range v.Parts {
		if !slices.Contains(p, part) {
			return false
		}
	}
	return true
}

func (v Verdict) equal(other Verdict) bool { return slices.Equal(v.Parts, other.Parts) }

func (v Verdict) contains(part Part) bool {
	_, found := slices.BinarySearch(v.Parts, part)
	return found
}

// implies reports whether another verdict refuses each prompt that this one refuses.
func (v Verdict) implies(other Verdict) bool { return len(difference(other.Parts, v.Parts)) == 0 }
