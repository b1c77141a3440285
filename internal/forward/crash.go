package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

// shareThreshold is the number of crashes from which the other instances are notified.
// A retried stream crashes further upstreams at a single instance, which counts them
// itself; an isolated crash needs no message.
const shareThreshold = 2

// refuseQuarantined responds to a request that has crashed too many upstreams.
func (f *Forwarder) refuseQuarantined(x *exchange) bool {
	if !f.Quarantine.Contains(time.Now(), x.content) {
		return false
	}
	f.fail(x, http.StatusBadGateway, "the request has crashed each upstream that ran it")
	return true
}

// recordCrash records that an upstream crashed while it ran a request. The loss of a
// whole failure domain is no evidence against a request.
func (f *Forwarder) recordCrash(x *exchange, m *pool.Member, upstreamID string) {
	if f.domainLost(m) {
		return
	}
	crash := Crash{Content: x.content, UpstreamID: upstreamID}
	count := f.Quarantine.Add(time.Now(), crash)
	x.log.WithFields(logrus.Fields{"upstream": upstreamID, "crashes": count, "limit": crashLimit}).Warn("upstream crashed while it ran the request")
	switch {
	case count == shareThreshold:
		for _, earlier := range f.Quarantine.Crashes(x.content) {
			go f.ShareCrash(earlier) // also the first crash, not sent before
		}
	case count > shareThreshold || x.state.MaxAttempts < crashLimit:
		go f.ShareCrash(crash)
	}
}

// domainLost reports whether the failure domain of an upstream has just lost other
// upstreams.
func (f *Forwarder) domainLost(m *pool.Member) bool {
	return pool.DomainDown(f.Pool.Members(m.Service), m.FailureDomain, time.Now())
}

// confirmCallCrash checks whether a plain upstream that failed a call is still the same
// process, and records a crash if not.
func (f *Forwarder) confirmCallCrash(x *exchange, last callAttempt, at time.Time) {
	m, upstreamID := last.member, last.upstream.ID
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	m.ChargeRequest(time.Now())
	f.Metrics.countLimited(m, healthCheck)
	health, err := f.Prober.Health(ctx, m.Address, x.service.HealthPath)
	if err == nil && health.ID == upstreamID {
		return // only the connection or the response was lost
	}
	if connectionEnded(last.reply.err) && (err == nil || refusesConnections(err)) {
		f.recordEndAtStart(x, endedProcess{member: m, upstreamID: upstreamID, sentAt: last.startedAt, at: at, progress: notBegun})
	}
	f.recordCrash(x, m, upstreamID)
}
