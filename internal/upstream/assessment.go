package upstream

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Assessment is what the evidence says about one content, for any later time.
type Assessment struct {
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
func (j Assessment) Standing(now time.Time) Standing {
	standing := Standing{Deaths: incidents(j.counting(now))}
	if !j.from.IsZero() && !now.Before(j.from) && now.Before(j.until) {
		standing.Quarantined = true
		standing.Until = j.until
	}
	return standing
}

// identified reports whether deaths have identified the content and its
// quarantine has begun or is about to.
func (j Assessment) identified(now time.Time) bool {
	return !j.from.IsZero() && now.Before(j.until)
}

// recent returns the charges that are not too old.
func (j Assessment) recent(now time.Time) []charge {
	first := slices.IndexFunc(j.charges, func(c charge) bool { return now.Sub(c.at) <= quarantineTime })
	if first < 0 {
		return nil
	}
	return j.charges[first:]
}

// counting returns the recent charges that count against the content.
func (j Assessment) counting(now time.Time) []charge {
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
