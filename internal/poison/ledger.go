package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = 2 * time.Minute
	// maxCrashes bounds the crashes that are kept, maxCrashPrompts the prompts of each, and
	// maxEvidenceParts the parts of all of them together.
	maxCrashes       = 1_000
	maxCrashPrompts  = 64
	maxEvidenceParts = 100_000
	maxVerdicts      = 1_000
	// cleaningInterval is how often expired evidence is looked for.
	cleaningInterval = time.Second
)

// Ledger holds the evidence and the verdicts of one instance. Its methods may be called
// concurrently; Refuses takes no lock.
type Ledger struct {
	verdicts atomic.Pointer[verdictSet]

	mu        sync.Mutex
	crashes   map[string]*record // by upstream ID
	parts     int                // of all prompts of the crashes
	suspected map[Part]int       // number of prompts of the crashes with each part
	successes successes
	cleanedAt time.Time // of the last removal of expired evidence
}

// verdictSet is immutable.
type verdictSet struct {
	verdicts []Verdict          // by parts
	byPart   map[Part][]Verdict // by the first part
	changed  chan struct{}      // closed at the next change
}

func newVerdictSet(verdicts []Verdict) *verdictSet {
	s := &verdictSet{verdicts: verdicts, byPart: map[Part][]Verdict{}, changed: make(chan struct{})}
	for _, v := range verdicts {
		s.byPart[v.Parts[0]] = append(s.byPart[v.Parts[0]], v)
	}
	return s
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	l := &Ledger{crashes: map[string]*record{}, suspected: map[Part]int{}}
	l.verdicts.Store(newVerdictSet(nil))
	return l
}

// AddCrash adds the evidence of a crash that this or another instance has seen, and returns
// the verdicts that are new with it. Evidence about one upstream process is merged.
func (l *Ledger) AddCrash(now time.Time, crash Crash) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	if crash.At.After(now) {
		crash.At = now
	}
	if now.Sub(crash.At) >= evidenceLifetime {
		return nil
	}
	merged := l.crashes[crash.UpstreamID]
	if merged == nil {
		merged = &record{upstreamID: strings.Clone(crash.UpstreamID), failureDomain: strings.Clone(crash.FailureDomain), at: crash.At}
		l.crashes[merged.upstreamID] = merged
	}
	// Reports of other instances arrive with a delay, so the earliest one is the best.
	if crash.At.Before(merged.at) {
		merged.at = crash.At
	}
	for _, prompt := range crash.Prompts {
		l.addPrompt(merged, prompt)
	}
	l.removeExcess()
	return l.judge(now)
}

func (l *Ledger) addPrompt(r *record, prompt Prompt) {
	prompt = prompt[:min(len(prompt), maxPromptParts)]
	sorted := prompt.sorted()
	if len(sorted) == 0 || len(r.prompts) >= maxCrashPrompts {
		return
	}
	if slices.ContainsFunc(r.prompts, func(s suspect) bool { return s.first == prompt[0] && slices.Equal(s.parts, sorted) }) {
		return
	}
	r.prompts = append(r.prompts, suspect{first: prompt[0], parts: sorted})
	l.parts += len(sorted)
	for _, part := range sorted {
		l.suspected[part]++
	}
}

// remove removes the evidence on a crash.
func (l *Ledger) remove(r *record) {
	delete(l.crashes, r.upstreamID)
	for _, prompt := range r.prompts {
		l.parts -= len(prompt.parts)
		for _, part := range prompt.parts {
			if l.suspected[part]--; l.suspected[part] == 0 {
				delete(l.suspected, part)
			}
		}
	}
}

// removeExpired removes the crashes that no longer count.
func (l *Ledger) removeExpired(now time.Time) {
	if now.Sub(l.cleanedAt) < cleaningInterval {
		return
	}
	l.cleanedAt = now
	for _, crash := range l.crashes {
		if now.Sub(crash.at) >= evidenceLifetime {
			l.remove(crash)
		}
	}
}

// removeExcess removes the oldest crashes beyond the bounds.
func (l *Ledger) removeExcess() {
	if len(l.crashes) <= maxCrashes && l.parts <= maxEvidenceParts {
		return
	}
	for _, crash := range l.sortedCrashes() {
		if len(l.crashes) <= maxCrashes && l.parts <= maxEvidenceParts {
			return
		}
		l.remove(crash)
	}
}

func (l *Ledger) sortedCrashes() []*record {
	return slices.SortedFunc(maps.Values(l.crashes), func(a, b *record) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.upstreamID, b.upstreamID))
	})
}

// judge adds the verdicts that follow from the evidence and returns those that are new.
func (l *Ledger) judge(now time.Time) []Verdict {
	standing := l.verdicts.Load().verdicts
	verdicts := standing
	lastSuccess := func(part Part) (time.Time, bool) { return l.successes.knownGood(now, part) }
	for _, v := range judge(evidence{crashes: l.sortedCrashes(), standing: standing, lastSuccess: lastSuccess}) {
		verdicts = withVerdict(verdicts, v)
	}
	l.publish(verdicts)
	return slices.DeleteFunc(slices.Clone(verdicts), func(v Verdict) bool { return slices.ContainsFunc(standing, v.equal) })
}

// withVerdict returns verdicts with one more, and without those that it makes needless.
func withVerdict(verdicts []Verdict, added Verdict) []Verdict {
	if len(added.Parts) == 0 || slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.equal(added) || added.implies(v) }) {
		return verdicts
	}
	kept := slices.DeleteFunc(slices.Clone(verdicts), func(v Verdict) bool { return v.implies(added) })
	if len(kept) >= maxVerdicts {
		return verdicts
	}
	kept = append(kept, added)
	slices.SortFunc(kept, func(a, b Verdict) int { return slices.Compare(a.Parts, b.Parts) })
	return kept
}

// publish makes verdicts take effect.
func (l *Ledger) publish(verdicts []Verdict) {
	before := l.verdicts.Load()
	if slices.EqualFunc(before.verdicts, verdicts, Verdict.equal) {
		return
	}
	l.verdicts.Store(newVerdictSet(verdicts))
	close(before.changed)
}

// AddSuccess records that answers on parts began and went on at a time, at this or another
// instance. It returns the parts with evidence against them, which other instances have to
// be informed about, and the verdicts that no longer hold. A verdict of several parts is
// replaced by one on the others, see Replacements.
func (l *Ledger) AddSuccess(now, at time.Time, parts []Part) (contradicted []Part, lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	if at.After(now) {
		at = now
	}
	verdicts := l.verdicts.Load().verdicts
	for _, part := range slices.Compact(slices.Sorted(slices.Values(parts))) {
		convicted := slices.ContainsFunc(verdicts, func(v Verdict) bool { return v.contains(part) })
		accused := l.accused(part, at)
		l.successes.add(now, at, part)
		if !accused && !convicted {
			continue
		}
		contradicted = append(contradicted, part)
		if !convicted || l.convictedSince(at, part) {
			continue
		}
		for _, v := range verdicts {
			if v.contains(part) {
				lifted = append(lifted, v)
				verdicts = slices.DeleteFunc(slices.Clone(verdicts), v.equal)
				verdicts = withVerdict(verdicts, Verdict{Parts: difference(v.Parts, []Part{part})})
			}
		}
	}
	l.publish(verdicts)
	return contradicted, lifted
}

// convictedSince reports whether crashes after a success convict the part in spite of it.
func (l *Ledger) convictedSince(success time.Time, part Part) bool {
	var momentStart time.Time
	moments := 0
	for _, crash := range l.sortedCrashes() {
		if crash.at.After(success) && crash.suspects(part) && (moments == 0 || crash.at.Sub(momentStart) >= momentLength) {
			moments, momentStart = moments+1, crash.at
		}
	}
	return moments >= convictMomentsKnownGood
}

// accused reports whether a part is a suspect in a crash before a time, and no success after
// that crash is known.
func (l *Ledger) accused(part Part, before time.Time) bool {
	last, _ := l.successes.last(part)
	if l.suspected[part] == 0 {
		return false
	}
	for _, crash := range l.crashes {
		if crash.at.After(last) && crash.at.Before(before) && crash.suspects(part) {
			return true
		}
	}
	return false
}

// EndedBefore reports whether a process is known to have ended before a time. A request that
// was sent to it then did not end it.
func (l *Ledger) EndedBefore(upstreamID string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	crash := l.crashes[upstreamID]
	return crash != nil && crash.at.Before(at)
}

// Explains reports whether a verdict explains the crash of a process.
func (l *Ledger) Explains(process string) bool {
	set := l.verdicts.Load()
	if len(set.verdicts) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	crash := l.crashes[process]
	return crash != nil && slices.ContainsFunc(crash.prompts, func(s suspect) bool {
		return slices.ContainsFunc(set.verdicts, func(v Verdict) bool { return s.matches(&v) })
	})
}

// KnownGood returns those of the parts on which an answer is known to have gone on lately,
// each with the time of the last one.
func (l *Ledger) KnownGood(now time.Time, parts []Part) map[Part]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	good := map[Part]time.Time{}
	for _, part := range parts {
		if at, ok := l.successes.knownGood(now, part); ok {
			good[part] = at
		}
	}
	return good
}

// Adopt adds a verdict of another instance or of a time before a restart. Parts that are known
// good here are left out.
func (l *Ledger) Adopt(now time.Time, v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	adopted := slices.DeleteFunc(Prompt(v.Parts).sorted(), func(part Part) bool {
		at, knownGood := l.successes.knownGood(now, part)
		return knownGood && !l.convictedSince(at, part)
	})
	l.publish(withVerdict(l.verdicts.Load().verdicts, Verdict{Parts: adopted}))
}

// Lift removes a verdict together with its evidence. It has no effect on other verdicts.
func (l *Ledger) Lift(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdicts := l.verdicts.Load().verdicts
	i := slices.IndexFunc(verdicts, func(v Verdict) bool { return v.ID() == id })
	if i < 0 {
		return
	}
	for _, crash := range l.crashes {
		if slices.ContainsFunc(crash.prompts, func(s suspect) bool { return s.matches(&verdicts[i]) }) {
			l.remove(crash)
		}
	}
	l.publish(slices.Delete(slices.Clone(verdicts), i, i+1))
}

// Refuses returns the verdict by which a prompt is refused.
func (l *Ledger) Refuses(p Prompt) (Verdict, bool) {
	set := l.verdicts.Load()
	if len(set.verdicts) == 0 {
		return Verdict{}, false
	}
	for _, part := range p {
		for _, v := range set.byPart[part] {
			if v.matches(p) {
				return v, true
			}
		}
	}
	return Verdict{}, false
}

// Changed returns a channel that is closed at the next change of the verdicts.
func (l *Ledger) Changed() <-chan struct{} { return l.verdicts.Load().changed }

// Verdicts returns the verdicts that hold, by parts.
func (l *Ledger) Verdicts() []Verdict { return slices.Clone(l.verdicts.Load().verdicts) }

// Replacements returns the verdicts that hold in place of lifted ones, on some of their parts.
func (l *Ledger) Replacements(lifted []Verdict) []Verdict {
	return slices.DeleteFunc(l.Verdicts(), func(v Verdict) bool {
		return !slices.ContainsFunc(lifted, func(before Verdict) bool { return before.implies(v) && !before.equal(v) })
	})
}
