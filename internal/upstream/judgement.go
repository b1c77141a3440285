package upstream

import (
	"maps"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Judgement is what the evidence says about one content, for any later time.
type Judgement struct {
	charges []charge  // sorted by time
	from    time.Time // begin of the quarantine; zero if there is none
	until   time.Time
}

// charge is a death of an upstream while it ran a content.
type charge struct {
	upstream contract.UpstreamID
	domain   contract.FailureDomainID
	at       time.Time
	// counts reports that the content ran on all upstreams of the failure domain
	// that died within the correlation window.
	counts bool
}

// Standing returns the standing at a time.
func (j Judgement) Standing(now time.Time) Standing {
	standing := Standing{Deaths: incidents(j.counting(now))}
	if !j.from.IsZero() && !now.Before(j.from) && now.Before(j.until) {
		standing.Quarantined = true
		standing.Until = j.until
	}
	return standing
}

// recent returns the charges that are not too old.
func (j Judgement) recent(now time.Time) []charge {
	first := slices.IndexFunc(j.charges, func(c charge) bool { return now.Sub(c.at) <= quarantineTime })
	if first < 0 {
		return nil
	}
	return j.charges[first:]
}

// counting returns the recent charges that count against the content.
func (j Judgement) counting(now time.Time) []charge {
	return slices.DeleteFunc(slices.Clone(j.recent(now)), func(c charge) bool { return !c.counts })
}

// incidents returns how many distinct upstreams died, with deaths in one failure
// domain within the correlation window as one: they may have a common cause,
// such as the loss of the domain, even if the content ran on all of them.
func incidents(charges []charge) int {
	last := make(map[contract.FailureDomainID]time.Time)
	counted := make(map[contract.FailureDomainID]bool)
	seen := make(map[contract.UpstreamID]bool)
	count := 0
	for _, c := range charges {
		if c.at.Sub(last[c.domain]) > correlationWindow {
			counted[c.domain] = false
		}
		last[c.domain] = c.at
		if !seen[c.upstream] && !counted[c.domain] {
			counted[c.domain] = true
			count++
		}
		seen[c.upstream] = true
	}
	return count
}

func distinctUpstreams(charges []charge) []contract.UpstreamID {
	var ids []contract.UpstreamID
	for _, c := range charges {
		if !slices.Contains(ids, c.upstream) {
			ids = append(ids, c.upstream)
		}
	}
	return ids
}

// quarantinePeriod is the time for which a content is refused.
type quarantinePeriod struct{ condemnedAt, until time.Time }

// judge computes judgements from sorted deaths.
type judge struct {
	deaths    []Death
	byContent map[ContentKey][]int // indices of the deaths that count against a content
	condemned map[ContentKey]quarantinePeriod
}

// Judge returns the judgement of each content that ran on an upstream when it
// died. The result depends only on the evidence.
//
// Contents are condemned in the order of time, with the deaths known up to then.
// A death is explained by a condemned content that ran there: it counts neither
// against others nor as correlated with other deaths. Without that, two killers
// that are active at the same time would clear each other.
func (e *Evidence) Judge() map[ContentKey]Judgement {
	j := judge{
		deaths:    e.provenDeaths(),
		byContent: make(map[ContentKey][]int),
		condemned: make(map[ContentKey]quarantinePeriod),
	}
	for i, death := range j.deaths {
		for _, content := range death.Contents {
			if e.acquitted[content].Before(death.At) {
				j.byContent[content] = append(j.byContent[content], i)
			}
		}
	}
	j.condemn()
	return j.judgements()
}

// condemn finds the contents that the deaths condemn.
func (j *judge) condemn() {
	candidates := j.candidates()
	for _, now := range j.instants(candidates) {
		// A condemned content explains deaths that hid those of another one.
		for found := true; found; {
			found = j.condemnAt(candidates, now)
		}
	}
}

// condemnAt finds the contents that are condemned by now and reports whether one
// is new. Those found in one pass do not explain each other's deaths.
func (j *judge) condemnAt(candidates []ContentKey, now time.Time) (found bool) {
	condemned := make(map[ContentKey]quarantinePeriod)
	for _, content := range candidates {
		until, reached := quarantine(j.charges(content, now))
		known, again := j.condemned[content]
		switch {
		case reached && again:
			condemned[content] = quarantinePeriod{condemnedAt: known.condemnedAt, until: until}
		case reached:
			condemned[content] = quarantinePeriod{condemnedAt: now, until: until}
			found = true
		}
	}
	maps.Copy(j.condemned, condemned)
	return found
}

// candidates returns the contents that ran on enough upstreams, sorted.
func (j *judge) candidates() []ContentKey {
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

// instants returns the times at which a candidate may become condemned.
func (j *judge) instants(candidates []ContentKey) []time.Time {
	var instants []time.Time
	for _, content := range candidates {
		for _, i := range j.byContent[content] {
			instants = append(instants, j.deaths[i].At)
		}
	}
	slices.SortFunc(instants, time.Time.Compare)
	return slices.CompactFunc(instants, time.Time.Equal)
}

// judgements returns the result with all deaths.
func (j *judge) judgements() map[ContentKey]Judgement {
	judgements := make(map[ContentKey]Judgement, len(j.byContent))
	for content := range j.byContent {
		judgement := Judgement{charges: j.charges(content, j.deaths[len(j.deaths)-1].At)}
		if period, condemned := j.condemned[content]; condemned {
			// Until then, evidence that clears the content may arrive from the
			// other instances; the content is held back.
			judgement.from, judgement.until = period.condemnedAt.Add(evidenceDelay), period.until
		}
		if len(judgement.charges) > 0 || !judgement.from.IsZero() {
			judgements[content] = judgement
		}
	}
	return judgements
}

// charges returns the deaths up to a time that no other content explains.
func (j *judge) charges(content ContentKey, now time.Time) []charge {
	var charges []charge
	for _, i := range j.byContent[content] {
		death := j.deaths[i]
		if death.At.After(now) || j.explained(death, content, now) {
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

// explained reports whether a content that is condemned by now, other than the
// given one, ran on the upstream that died.
func (j *judge) explained(death Death, content ContentKey, now time.Time) bool {
	for other, period := range j.condemned {
		if other != content && !period.condemnedAt.After(now) && ranOn(death, other) {
			return true
		}
	}
	return false
}

// related returns the deaths up to a time of other upstreams in the failure
// domain of a death within the correlation window, without explained ones.
func (j *judge) related(index int, content ContentKey, now time.Time) []Death {
	death := j.deaths[index]
	var related []Death
	add := func(other Death) {
		sameDomain := other.FailureDomain == death.FailureDomain && other.Start.Upstream != death.Start.Upstream
		if sameDomain && !other.At.After(now) && !j.explained(other, content, now) {
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
