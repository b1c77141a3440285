package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// momentLength is the time within which crashes count as one: an event that ends several
	// upstreams, such as a loss of power, ends them together.
	momentLength = 250 * time.Millisecond
	// convictMoments is how many moments of crashes in several failure domains convict a part.
	convictMoments = 3
	// convictMomentsAlone is the same for crashes in one failure domain.
	convictMomentsAlone = 5
	// convictCrashes is how many crashes convict a part in fewer moments, if it is a suspect in
	// all crashes of that time.
	convictCrashes = 5
	// convictMomentsKnownGood is the same for a part that is known good.
	convictMomentsKnownGood = 8
	// reviseMoments is how many moments of crashes that a verdict does not explain change it.
	reviseMoments = 2
)

// evidence is what verdicts follow from.
type evidence struct {
	crashes []*record // by time, then by upstream
	// lastSuccess returns the time of the last success on a part.
	lastSuccess func(Part) (at time.Time, knownGood bool)
	standing    []Verdict // earlier verdicts, by parts
}

// record is the merged evidence on a crash.
type record struct {
	upstreamID    string
	failureDomain string
	at            time.Time
	prompts       []suspect
}

// suspect is a prompt that may have caused a crash.
type suspect struct {
	first Part
	parts []Part // ascending
}

func (s suspect) contains(part Part) bool {
	_, found := slices.BinarySearch(s.parts, part)
	return found
}

func (s suspect) matches(v *Verdict) bool { return len(difference(v.Parts, s.parts)) == 0 }

// suspects reports whether a part is in one of the prompts.
func (r *record) suspects(part Part) bool {
	return slices.ContainsFunc(r.prompts, func(s suspect) bool { return s.contains(part) })
}

// tally summarizes the crashes that count against a part.
type tally struct {
	part    Part
	crashes []int // indexes, ascending
	moments int
	domains int
	prompts int // suspect prompts with the part in all crashes
}

// occurrence is what the evidence holds on a part.
type occurrence struct {
	crashes []int // with the part, since its last success
	prompts int   // number of suspect prompts with the part
	alone   int   // number of the crashes with a prompt of this part alone
	first   bool  // whether a suspect prompt begins with the part and has others
}

// trial is the state of a judgement.
type trial struct {
	evidence
	occurrences map[Part]*occurrence
	explained   []*Verdict // verdict that explains each crash
	verdicts    []Verdict  // new ones
	settled     map[Part]bool
}

// judge returns the verdicts that follow from the evidence, without the standing ones. It
// convicts the part with the most crashes, sets aside the crashes that this explains, and goes on
// until no part has enough of the rest.
func judge(e evidence) []Verdict {
	t := &trial{evidence: e, occurrences: map[Part]*occurrence{}, explained: make([]*Verdict, len(e.crashes)), settled: map[Part]bool{}}
	for i, crash := range e.crashes {
		t.addOccurrences(i, crash)
	}
	for i := range e.standing {
		t.explain(&e.standing[i])
	}
	for {
		candidates := t.candidates()
		if len(candidates) == 0 {
			return t.verdicts
		}
		leader := t.mostSpecific(candidates[0], candidates)
		rivals := t.rivals(leader, candidates)
		for _, c := range append(rivals, leader) {
			t.settled[c.part] = true
			// The next crash mostly tells rivals apart.
			if len(rivals) == 0 || len(c.crashes) >= convictCrashes {
				t.verdicts = append(t.verdicts, t.verdictOn(c.part))
			}
		}
		for i := range t.verdicts {
			t.explain(&t.verdicts[i])
		}
	}
}

func (t *trial) addOccurrences(i int, crash *record) {
	alone := map[Part]bool{}
	for _, prompt := range crash.prompts {
		for _, part := range prompt.parts {
			o := t.occurrences[part]
			if o == nil {
				o = &occurrence{}
				t.occurrences[part] = o
			}
			o.prompts++
			if at, _ := t.lastSuccess(part); !crash.at.After(at) {
				continue
			}
			o.first = o.first || prompt.first == part && len(prompt.parts) > 1
			if len(o.crashes) == 0 || o.crashes[len(o.crashes)-1] != i {
				o.crashes = append(o.crashes, i)
			}
			if len(prompt.parts) == 1 && !alone[part] {
				alone[part] = true
				o.alone++
			}
		}
	}
}

// explain sets aside the crashes that a verdict explains.
func (t *trial) explain(v *Verdict) {
	for i, crash := range t.crashes {
		if t.explained[i] == nil && slices.ContainsFunc(crash.prompts, func(s suspect) bool { return s.matches(v) }) {
			t.explained[i] = v
		}
	}
}

// candidates returns the parts with enough evidence for a conviction, the most suspect first.
func (t *trial) candidates() []tally {
	var candidates []tally
	for part, o := range t.occurrences {
		if t.settled[part] || len(o.crashes) < convictMoments {
			continue
		}
		if c := t.count(part); t.suffices(c) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b tally) int {
		return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.prompts, b.prompts), cmp.Compare(a.part, b.part))
	})
	return candidates
}

// count returns the crashes that count against a part. The crashes that a verdict explains count
// too if others show that it does not explain enough.
func (t *trial) count(part Part) tally {
	all := t.occurrences[part].crashes
	own := false
	unexplained := t.tallyOf(part, slices.DeleteFunc(slices.Clone(all), func(i int) bool {
		own = own || t.explained[i] != nil && t.explained[i].contains(part)
		return t.explained[i] != nil
	}))
	if unexplained.moments >= reviseMoments && !t.needsMore(part) && (own || len(all) >= convictCrashes) {
		return t.tallyOf(part, all)
	}
	return unexplained
}

func (t *trial) tallyOf(part Part, crashes []int) tally {
	c := tally{part: part, crashes: crashes, prompts: t.occurrences[part].prompts}
	var momentStart time.Time
	var domains []string
	for _, i := range crashes {
		crash := t.crashes[i]
		if c.moments == 0 || crash.at.Sub(momentStart) >= momentLength {
			c.moments, momentStart = c.moments+1, crash.at
		}
		if !slices.Contains(domains, crash.failureDomain) {
			domains = append(domains, crash.failureDomain)
		}
	}
	c.domains = len(domains)
	return c
}

// needsMore reports whether a part is more likely innocent than others: it is known good, or it is
// a first part, which is mostly common to all prompts of a workspace.
func (t *trial) needsMore(part Part) bool {
	_, knownGood := t.lastSuccess(part)
	return knownGood || t.occurrences[part].first
}

// suffices reports whether the crashes convict the part.
func (t *trial) suffices(c tally) bool {
	o := t.occurrences[c.part]
	_, knownGood := t.lastSuccess(c.part)
	switch {
	case knownGood:
		return c.moments >= convictMomentsKnownGood
	case o.first:
		return c.moments >= convictMomentsAlone
	case o.alone == len(o.crashes) && len(c.crashes) < convictCrashes:
		return false
	case c.moments >= convictMomentsAlone:
		return true
	case c.domains < 2:
		return false
	case c.moments >= convictMoments:
		return true
	}
	return len(c.crashes) >= convictCrashes && !t.otherCrashesBeside(c)
}

// otherCrashesBeside reports whether upstreams without the part crashed in the same
// moments and no verdict explains it: an event that ends upstreams, not a part.
func (t *trial) otherCrashesBeside(c tally) bool {
	first, last := t.crashes[c.crashes[0]].at, t.crashes[c.crashes[len(c.crashes)-1]].at
	for i, crash := range t.crashes {
		beside := crash.at.Sub(first) > -momentLength && crash.at.Sub(last) < momentLength
		if beside && t.explained[i] == nil && !slices.Contains(c.crashes, i) {
			return true
		}
	}
	return false
}

// mostSpecific returns a candidate that explains crashes of the leader by fewer prompts, if such
// candidates explain them together. The part that all prompts of a workspace
// share is in more crashes than a poison part of this workspace, but also in prompts without it.
func (t *trial) mostSpecific(leader tally, candidates []tally) tally {
	rest, general := leader, t.needsMore(leader.part)
	var cover []tally
	for t.suffices(rest) {
		var best tally
		var bestShared []int
		for _, c := range candidates {
			shared := intersection(c.crashes, rest.crashes)
			if c.part != leader.part && c.prompts < leader.prompts && len(shared) > len(bestShared) && (general || t.nested(c.part, leader.part)) {
				best, bestShared = c, shared
			}
		}
		if len(bestShared) == 0 {
			return leader
		}
		cover = append(cover, best)
		rest = t.tallyOf(leader.part, difference(rest.crashes, bestShared))
	}
	prompts := 0
	for _, crash := range t.crashes {
		for _, prompt := range crash.prompts {
			if slices.ContainsFunc(cover, func(c tally) bool { return prompt.contains(c.part) }) {
				prompts++
			}
		}
	}
	if prompts >= leader.prompts {
		return leader
	}
	return t.mostSpecific(cover[0], candidates)
}

// verdictOn returns the verdict on a part: the part together with those that no suspect prompt
// tells apart from it.
func (t *trial) verdictOn(convicted Part) Verdict {
	var common []Part
	for _, i := range t.occurrences[convicted].crashes {
		for _, prompt := range t.crashes[i].prompts {
			switch {
			case !prompt.contains(convicted):
			case common == nil:
				common = slices.Clone(prompt.parts)
			default:
				common = intersection(common, prompt.parts)
			}
		}
	}
	return Verdict{Parts: slices.DeleteFunc(common, func(part Part) bool {
		_, knownGood := t.lastSuccess(part)
		return part != convicted && knownGood
	})}
}

// rivals returns the candidates in other prompts that explain the crashes as well as the leader
// does.
func (t *trial) rivals(leader tally, candidates []tally) []tally {
	verdict := t.verdictOn(leader.part)
	var rivals []tally
	for _, c := range candidates {
		nested := t.nested(c.part, leader.part) || t.nested(leader.part, c.part)
		if c.part != leader.part && !verdict.contains(c.part) && c.moments == leader.moments && !nested &&
			t.needsMore(c.part) == t.needsMore(leader.part) && !t.suffices(t.tallyOf(c.part, difference(c.crashes, leader.crashes))) {
			rivals = append(rivals, c)
		}
	}
	return rivals
}

// nested reports whether each suspect prompt with a part contains the other one.
func (t *trial) nested(part, other Part) bool {
	for _, i := range t.occurrences[part].crashes {
		for _, prompt := range t.crashes[i].prompts {
			if prompt.contains(part) && !prompt.contains(other) {
				return false
			}
		}
	}
	return true
}

// intersection returns the values that are in both of two ascending slices.
func intersection[T cmp.Ordered](a, b []T) []T {
	both := []T{}
	for _, value := range a {
		if _, found := slices.BinarySearch(b, value); found {
			both = append(both, value)
		}
	}
	return both
}

// difference returns the values of an ascending slice that another one lacks.
func difference[T cmp.Ordered](a, b []T) []T {
	rest := []T{}
	for _, value := range a {
		if _, found := slices.BinarySearch(b, value); !found {
			rest = append(rest, value)
		}
	}
	return rest
}
