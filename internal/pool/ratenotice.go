package pool

import (
	"maps"
	"slices"
	"time"
)

// maxRateNotices bounds the memory for notices, which other programs may have written.
const maxRateNotices = 10_000

// RateNotice is the information of the other instances that an upstream states a request
// rate. An instance that has not used the upstream yet, or has restarted, knows the rate
// from it.
type RateNotice struct {
	PerSecond float64
	StartedAt int64 // start time of the upstream's process in Unix milliseconds
}

// ApplyRateNotice records a notice about an upstream. The member is nil if the upstream is
// not listed, or is another process; the notice then applies once it is listed.
func (p *Pool) ApplyRateNotice(now time.Time, upstreamID string, notice RateNotice) (*Member, RateChange) {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	if _, known := p.rateNotices[upstreamID]; !known && len(p.rateNotices) >= maxRateNotices {
		return nil, RateUnchanged
	}
	p.rateNotices[upstreamID] = notice
	m, found := p.Find(upstreamID, notice.StartedAt)
	if !found {
		return nil, RateUnchanged
	}
	return m, m.ApplyRateNotice(now, notice.PerSecond)
}

// ApplyRateEnd drops the notice about an upstream, which no longer states a rate. The
// member is nil if the upstream is not listed.
func (p *Pool) ApplyRateEnd(now time.Time, upstreamID string) (*Member, RateChange) {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	delete(p.rateNotices, upstreamID)
	m := p.snapshot.Load().byID[upstreamID]
	if m == nil {
		return nil, RateUnchanged
	}
	return m, m.ApplyRateEnd(now)
}

// RateNotice returns the notice about an upstream.
func (p *Pool) RateNotice(upstreamID string) (notice RateNotice, ok bool) {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	notice, ok = p.rateNotices[upstreamID]
	return notice, ok
}

// RateNoticeIDs returns the IDs of the upstreams about which there are notices.
func (p *Pool) RateNoticeIDs() []string {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	return slices.Collect(maps.Keys(p.rateNotices))
}

// HasRateNotices reports whether there is a notice about any upstream.
func (p *Pool) HasRateNotices() bool {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	return len(p.rateNotices) > 0
}

// ObsoleteRateNotices returns the IDs of the notices about processes that are not listed.
func (p *Pool) ObsoleteRateNotices() []string {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	var ids []string
	for id, notice := range p.rateNotices {
		if _, found := p.Find(id, notice.StartedAt); !found {
			ids = append(ids, id)
		}
	}
	return ids
}
