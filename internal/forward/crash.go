package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// sharedFrom is the number of crashes from which the other instances are told.
// A stream that comes again crashes more upstreams at one instance alone; a crash
// that is no part of a row needs no message.
const shareThreshold = 2

// refuseQuarantined answers a request that has crashed too many upstreams.
func (f *Forwarder) refuseQuarantined(x *exchange) bool {
	if !f.Quarantine.Holds(time.Now(), x.content) {
		return false
	}
	f.fail(x, http.StatusBadGateway, "the request has crashed each upstream that ran it")
	return true
}

// crashed notes that an upstream crashed while it ran a request. Crashes of a whole
// failure domain are no evidence against a request.
func (f *Forwarder) recordCrash(x *exchange, m *pool.Member, upstreamID string) {
	if f.domainLost(m) {
		return
	}
	crash := Crash{Content: x.content, Upstream: upstreamID}
	count := f.Quarantine.Add(time.Now(), crash)
	x.log.WithFields(logrus.Fields{"upstream": upstreamID, "crashes": count, "limit": crashLimit}).Warn("upstream crashed while it ran the request")
	switch {
	case count == shareThreshold:
		for _, earlier := range f.Quarantine.Evidence(x.content) {
			go f.Share(earlier) // the first was kept back
		}
	case count > shareThreshold || x.state.MaxAttempts < crashLimit:
		go f.Share(crash)
	}
}

// domainLost reports whether the failure domain of an upstream has just lost others.
func (f *Forwarder) domainLost(m *pool.Member) bool {
	return pool.DomainLost(f.Pool.Members(m.Service), m.FailureDomain, time.Now())
}

// confirmCallCrash asks a plain upstream that failed a call whether it is still
// the process that got it.
func (f *Forwarder) confirmCallCrash(x *exchange, m *pool.Member, upstreamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	health, err := f.Reporter.Health(ctx, m.Address, x.service.HealthPath)
	if err == nil && health.ID == upstreamID {
		return // only the connection or the answer was lost
	}
	f.recordCrash(x, m, upstreamID)
}

// confirmCrash asks the upstream of a run that ended without an event whether it
// is still the process that ran it.
func (f *Forwarder) confirmCrash(ctx context.Context, x *exchange, m *pool.Member, upstreamID string) {
	if ctx.Err() != nil {
		return
	}
	reports := f.requestReports(ctx, x, []*pool.Member{m})
	if reports[0] != nil && m.Current().ID == upstreamID {
		return // only the connection was lost
	}
	f.recordCrash(x, m, upstreamID)
}
