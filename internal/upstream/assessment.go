package upstream

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Assessment is what the evidence shows about one content. It is valid for any
// later time.
type Assessment struct {
	attributed      []attributedCrash // sorted by time
	quarantineStart time.Time         // start of the quarantine; zero if there is none
	quarantineEnd   time.Time
}

// attributedCrash is a crash of an upstream while it ran a content.
type attributedCrash struct {
	upstream contract.UpstreamID
	domain   contract.FailureDomainID
	at       time.Time
	// counts reports that the content ran on all upstreams of the failure domain
	// that crashed within the correlation window.
	counts bool
}

// StatusAt returns the status of the content at a time.
func (a Assessment) StatusAt(now time.Time) ContentStatus {
	status := ContentStatus{Crashes: incidents(a.countingCrashes(now))}
	if !a.quarantineStart.IsZero() && !now.Before(a.quarantineStart) && now.Before(a.quarantineEnd) {
		status.Quarantined = true
		status.Until = a.quarantineEnd
	}
	return status
}

// identified reports whether crashes have identified the content as a poison
// prompt and its quarantine has not ended. It may begin only after evidenceDelay.
func (a Assessment) identified(now time.Time) bool {
	return !a.quarantineStart.IsZero() && now.Before(a.quarantineEnd)
}

// recentCrashes returns the attributed crashes that are at most
// quarantineDuration old.
func (a Assessment) recentCrashes(now time.Time) []attributedCrash {
	first := slices.IndexFunc(a.attributed, func(c attributedCrash) bool { return now.Sub(c.at) <= quarantineDuration })
	if first < 0 {
		return nil
	}
	return a.attributed[first:]
}

// countingCrashes returns the recent crashes that count against the content.
func (a Assessment) countingCrashes(now time.Time) []attributedCrash {
	return countingOf(a.recentCrashes(now))
}

// countingOf returns the crashes that count against the content.
func countingOf(attributed []attributedCrash) []attributedCrash {
	return slices.DeleteFunc(slices.Clone(attributed), func(c attributedCrash) bool { return !c.counts })
}

// incidents returns the number of distinct upstreams that crashed. Crashes in one
// failure domain within the correlation window count as one: they may have a
// common cause, such as the loss of the domain, even if the content ran on all of
// them.
func incidents(attributed []attributedCrash) int {
	last := make(map[contract.FailureDomainID]time.Time)
	counted := make(map[contract.FailureDomainID]bool)
	seen := make(map[contract.UpstreamID]bool)
	count := 0
	for _, c := range attributed {
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

func distinctUpstreams(attributed []attributedCrash) []contract.UpstreamID {
	var ids []contract.UpstreamID
	for _, c := range attributed {
		if !slices.Contains(ids, c.upstream) {
			ids = append(ids, c.upstream)
		}
	}
	return ids
}
