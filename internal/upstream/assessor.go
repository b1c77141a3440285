package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// quarantinePeriod is the time for which a content is refused.
type quarantinePeriod struct{ identifiedAt, until time.Time }

// assessor computes assessments from sorted deaths.
type assessor struct {
	deaths     []Death
	byContent  map[ContentKey][]int // indices of the deaths that count against a content
	identified map[ContentKey]quarantinePeriod
}

// Assess returns the assessment of each content that ran on an upstream when it
// died. The result depends only on the evidence.
//
// Contents are identified in the order of time, with the deaths known up to then.
// A death is explained by an identified content that ran there: it counts neither
// against others nor as correlated with other deaths. Without that, two poison prompts
// that are active at the same time would clear each other.
func (e *Evidence) Assess() map[ContentKey]Assessment {
	j := assessor{
		deaths:     e.provenDeaths(),
		byContent:  make(map[ContentKey][]int),
		identified: make(map[ContentKey]quarantinePeriod),
	}
	for i, death := range j.deaths {
		for _, content := range death.Contents {
			if e.cleared[content].Before(death.At) {
				j.byContent[content] = append(j.byContent[content], i)
			}
		}
	}
	j.identify()
	return j.assessments()
}

// identify finds the contents that the deaths identify.
func (j *assessor) identify() {
	candidates := j.candidates()
	for _, now := range j.instants(candidates) {
		// An identified content explains deaths that hid those of another one. The
		// number of passes is bounded, since a release could undo what a pass found.
		for range candidates {
			if !j.identifyAt(candidates, now) {
				break
			}
		}
	}
}

// identifyAt finds the contents that are identified by now and reports whether one
// is new. Those found in one pass do not explain each other's deaths.
//
// A content that was identified earlier is released if others explain all of its
// deaths: a harmless content may move over the upstreams that several poison
// prompts crash and reach the limit before they do. It would then explain their
// deaths, and they would go on.
func (j *assessor) identifyAt(candidates []ContentKey, now time.Time) (found bool) {
	suspects := j.reached(candidates, now)
	known, released := j.withoutExplained(suspects, now)
	identified := maps.Clone(known)
	for content := range suspects {
		until, reached := quarantine(j.chargesWith(content, now, known))
		before, again := known[content]
		switch {
		case reached && again:
			identified[content] = quarantinePeriod{identifiedAt: before.identifiedAt, until: until}
		case reached && !released[content]:
			identified[content] = quarantinePeriod{identifiedAt: now, until: until}
			found = true
		}
	}
	for content := range released {
		period, before := j.identified[content]
		if before && !j.explainedBy(identified, content, now) {
			identified[content] = period
		}
	}
	j.identified = identified
	return found
}

// reached returns the contents that have enough deaths by now, whether others
// explain these or not, and those that are identified.
func (j *assessor) reached(candidates []ContentKey, now time.Time) map[ContentKey]quarantinePeriod {
	suspects := maps.Clone(j.identified)
	for _, content := range candidates {
		if _, found := suspects[content]; found {
			continue
		}
		if _, reached := quarantine(j.chargesWith(content, now, nil)); reached {
			suspects[content] = quarantinePeriod{identifiedAt: now}
		}
	}
	return suspects
}

// withoutExplained returns the identified contents of which some death is not
// explained by another suspect, and the suspects that are explained.
func (j *assessor) withoutExplained(suspects map[ContentKey]quarantinePeriod, now time.Time) (known map[ContentKey]quarantinePeriod, released map[ContentKey]bool) {
	known, released = make(map[ContentKey]quarantinePeriod), make(map[ContentKey]bool)
	left := maps.Clone(suspects)
	order := slices.SortedFunc(maps.Keys(suspects), func(a, b ContentKey) int {
		return cmp.Or(j.deathsBy(a, now)-j.deathsBy(b, now), compareContents(a, b))
	})
	for _, content := range order {
		if j.explainedBy(left, content, now) {
			delete(left, content)
			released[content] = true
		} else if period, before := j.identified[content]; before {
			known[content] = period
		}
	}
	return known, released
}

// explainedBy reports whether in each death of a content by now one of the
// others had a part that also had a part in a death without the content. Of
// contents with the same deaths, none is known to be harmless.
func (j *assessor) explainedBy(others map[ContentKey]quarantinePeriod, content ContentKey, now time.Time) bool {
	var explaining []ContentKey
	for other := range others {
		if other != content && j.ranWithout(other, content, now) {
			explaining = append(explaining, other)
		}
	}
	for _, i := range j.byContent[content][:j.deathsBy(content, now)] {
		ran := func(other ContentKey) bool { return ranOn(j.deaths[i], other) }
		if !slices.ContainsFunc(explaining, ran) {
			return false
		}
	}
	return true
}

// ranWithout reports whether one content ran on an upstream that died by now
// without the other one.
func (j *assessor) ranWithout(content, other ContentKey, now time.Time) bool {
	return slices.ContainsFunc(j.byContent[content][:j.deathsBy(content, now)], func(i int) bool {
		return !ranOn(j.deaths[i], other)
	})
}

// deathsBy returns the number of deaths by now that count against a content.
func (j *assessor) deathsBy(content ContentKey, now time.Time) int {
	indices := j.byContent[content]
	later := slices.IndexFunc(indices, func(i int) bool { return j.deaths[i].At.After(now) })
	if later < 0 {
		return len(indices)
	}
	return later
}

// candidates returns the contents that ran on enough upstreams, sorted.
func (j *assessor) candidates() []ContentKey {
	var candidates []ContentKey
	for content, indices := range j.byContent {
		upstreams := make(map[contract.UpstreamID]bool)
		for _, i := range indices {
			upstreams[j.deaths[i].Start.Upstream] = true
		}
		if len(upstreams) >= quarantineDeaths {
			candidates = append(candidates, content)
		}
	}
	slices.SortFunc(candidates, compareContents)
	return candidates
}

// instants returns the times at which a candidate may become identified.
func (j *assessor) instants(candidates []ContentKey) []time.Time {
	var instants []time.Time
	for _, content := range candidates {
		for _, i := range j.byContent[content] {
			instants = append(instants, j.deaths[i].At)
		}
	}
	slices.SortFunc(instants, time.Time.Compare)
	return slices.CompactFunc(instants, time.Time.Equal)
}

// assessments returns the result with all deaths.
func (j *assessor) assessments() map[ContentKey]Assessment {
	assessments := make(map[ContentKey]Assessment, len(j.byContent))
	for content := range j.byContent {
		assessment := Assessment{charges: j.charges(content, j.deaths[len(j.deaths)-1].At)}
		if period, identified := j.identified[content]; identified {
			// Until then, evidence that clears the content may arrive from the
			// other instances; the content is held back.
			assessment.from, assessment.until = period.identifiedAt.Add(evidenceDelay), period.until
		}
		if len(assessment.charges) > 0 || !assessment.from.IsZero() {
			assessments[content] = assessment
		}
	}
	return assessments
}

// charges returns the deaths up to a time that no other content explains.
func (j *assessor) charges(content ContentKey, now time.Time) []charge {
	return j.chargesWith(content, now, j.identified)
}

// chargesWith returns the deaths up to a time in which no other one of the
// given contents had a part.
func (j *assessor) chargesWith(content ContentKey, now time.Time, others map[ContentKey]quarantinePeriod) []charge {
	var charges []charge
	for _, i := range j.byContent[content][:j.deathsBy(content, now)] {
		death := j.deaths[i]
		if explains(others, death, content, now) {
			continue
		}
		c := charge{upstream: death.Start.Upstream, domain: death.FailureDomain, at: death.At, counts: true}
		for _, other := range j.related(i, content, now) {
			c.counts = c.counts && ranOn(other, content)
		}
		charges = append(charges, c)
	}
	return charges
}

// explains reports whether one of the identified contents, other than the given
// one, ran on the upstream that died.
func explains(identified map[ContentKey]quarantinePeriod, death Death, content ContentKey, now time.Time) bool {
	for other, period := range identified {
		if other != content && !period.identifiedAt.After(now) && ranOn(death, other) {
			return true
		}
	}
	return false
}

// related returns the deaths up to a time of other upstreams in the failure
// domain of a death within the correlation window, without explained ones.
func (j *assessor) related(index int, content ContentKey, now time.Time) []Death {
	death := j.deaths[index]
	var related []Death
	add := func(other Death) {
		sameDomain := other.FailureDomain == death.FailureDomain && other.Start.Upstream != death.Start.Upstream
		if sameDomain && !other.At.After(now) && !explains(j.identified, other, content, now) {
			related = append(related, other)
		}
	}
	for i := index - 1; i >= 0 && death.At.Sub(j.deaths[i].At) <= correlationWindow; i-- {
		add(j.deaths[i])
	}
	for i := index + 1; i < len(j.deaths) && j.deaths[i].At.Sub(death.At) <= correlationWindow; i++ {
		add(j.deaths[i])
	}
	return related
}

func ranOn(death Death, content ContentKey) bool {
	_, found := slices.BinarySearchFunc(death.Contents, content, compareContents)
	return found
}

// provenDeaths returns the deaths of processes that did not answer afterwards,
// sorted by time.
func (e *Evidence) provenDeaths() []Death {
	deaths := make([]Death, 0, len(e.deaths))
	for start, death := range e.deaths {
		if !provesAlive(e.alive[start], death.At) {
			deaths = append(deaths, death)
		}
	}
	slices.SortFunc(deaths, func(a, b Death) int { return a.At.Compare(b.At) })
	return deaths
}

// provesAlive reports whether an answer to a request sent at the given time
// refutes a death. Times of deaths are rounded to milliseconds.
func provesAlive(sentAt, death time.Time) bool { return sentAt.Sub(death) > time.Millisecond }

// quarantine returns the end of the quarantine that charges lead to.
func quarantine(charges []charge) (until time.Time, reached bool) {
	counting := slices.DeleteFunc(charges, func(c charge) bool { return !c.counts })
	first := 0
	for last := range counting {
		for counting[last].at.Sub(counting[first].at) > quarantineTime {
			first++
		}
		if incidents(counting[first:last+1]) >= quarantineDeaths {
			until, reached = counting[last].at.Add(quarantineTime), true
		}
	}
	return until, reached
}
