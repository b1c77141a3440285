package upstream

import (
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

// charge is a death that counts against a content.
type charge struct {
	upstream contract.UpstreamID
	at       time.Time
	// correlated reports that another upstream of the failure domain died
	// within the correlation window.
	correlated bool
}

// Standing returns the standing at a time.
func (j Judgement) Standing(now time.Time) Standing {
	standing := Standing{Deaths: len(j.upstreams(now))}
	if !j.from.IsZero() && !now.Before(j.from) && now.Before(j.until) {
		standing.Quarantined = true
		standing.Until = j.until
	}
	return standing
}

// upstreams returns the distinct upstreams of the charges that are not too old.
func (j Judgement) upstreams(now time.Time) []contract.UpstreamID {
	var ids []contract.UpstreamID
	for _, charge := range j.charges {
		if now.Sub(charge.at) <= quarantineTime && !slices.Contains(ids, charge.upstream) {
			ids = append(ids, charge.upstream)
		}
	}
	return ids
}

// Judge returns the judgement of each content that is charged with a death.
func (e *Evidence) Judge() map[ContentKey]Judgement {
	judgements := make(map[ContentKey]Judgement)
	deaths := e.provenDeaths()
	for i, death := range deaths {
		contents, correlated := commonContents(deaths, i)
		for _, content := range contents {
			if !e.acquitted[content].Before(death.At) {
				continue
			}
			judgement := judgements[content]
			judgement.charges = append(judgement.charges,
				charge{upstream: death.Start.Upstream, at: death.At, correlated: correlated})
			judgements[content] = judgement
		}
	}
	for content, judgement := range judgements {
		judgement.from, judgement.until = quarantine(judgement.charges)
		judgements[content] = judgement
	}
	return judgements
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

// commonContents returns the contents of a death that also ran on each other
// upstream of its failure domain that died within the correlation window.
func commonContents(deaths []Death, index int) (contents []ContentKey, correlated bool) {
	death := deaths[index]
	contents = death.Contents
	related := func(other Death) {
		if other.FailureDomain != death.FailureDomain || other.Start.Upstream == death.Start.Upstream {
			return
		}
		correlated = true
		contents = slices.DeleteFunc(slices.Clone(contents), func(c ContentKey) bool {
			_, found := slices.BinarySearchFunc(other.Contents, c, compareContents)
			return !found
		})
	}
	for i := index - 1; i >= 0 && death.At.Sub(deaths[i].At) <= correlationWindow; i-- {
		related(deaths[i])
	}
	for i := index + 1; i < len(deaths) && deaths[i].At.Sub(death.At) <= correlationWindow; i++ {
		related(deaths[i])
	}
	return contents, correlated
}

// quarantine returns the time of the quarantine that charges lead to, zero
// times if none. Charges of correlated deaths count only after the correlation
// window: until then, further deaths of the failure domain may become known
// that clear the content.
func quarantine(charges []charge) (from, until time.Time) {
	for last := range charges {
		var upstreams []contract.UpstreamID
		settled := charges[last].at
		for i := last; i >= 0 && charges[last].at.Sub(charges[i].at) <= quarantineTime; i-- {
			if !slices.Contains(upstreams, charges[i].upstream) {
				upstreams = append(upstreams, charges[i].upstream)
			}
			if settles := charges[i].at.Add(correlationWindow); charges[i].correlated && settles.After(settled) {
				settled = settles
			}
		}
		if len(upstreams) < quarantineDeaths {
			continue
		}
		if from.IsZero() {
			from = settled
		}
		until = charges[last].at.Add(quarantineTime)
	}
	return from, until
}
