package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// placementSampleSize is how many upstreams are polled for their load before a
	// prompt is placed. The best of a few is nearly as good as the best of all, and
	// random sampling keeps instances with the same stale reports from choosing the
	// same upstream.
	placementSampleSize = 4
	// backupSampleSize is how many upstreams are polled before a KV copy is made on
	// one.
	backupSampleSize = 2
	// reportTimeout bounds the wait for load reports, which take a few milliseconds.
	reportTimeout = 100 * time.Millisecond
	// identifyTimeout bounds the requests that identify a restarted upstream.
	identifyTimeout = 500 * time.Millisecond
	// checkInterval is the time between health checks of a suspected upstream by this
	// instance. Checks occupy a slot at the upstream like requests.
	checkInterval = 500 * time.Millisecond
)

// UpstreamProber reads the load and health of an upstream. A response also shows that the
// upstream is alive.
type UpstreamProber interface {
	// Load returns the load of the upstream at an address.
	Load(ctx context.Context, address string) (pool.LoadReport, error)
	// Health returns the ID and the health of the upstream at an address. An upstream
	// that reports itself unhealthy has responded.
	Health(ctx context.Context, address, healthPath string) (pool.HealthStatus, error)
}

// placement is the upstream for a prompt and the holder of its KV copy, or nil for the
// latter.
type placement struct {
	upstream     *pool.Member
	backupHolder *pool.Member
}

// placeByReport places a new prompt by current load reports of a few upstreams.
func (f *Forwarder) placeByReport(ctx context.Context, x *exchange, need pool.Requirements) (placement, bool) {
	need.Exclude = append(need.Exclude, x.excluded...)
	members := f.Pool.Members(x.service.Name)
	if len(members) > searchAllLimit {
		need.AffinityKey = x.meta.PromptPartID
	}
	sampled := pool.PickN(members, need, placementSampleSize, time.Now())
	reports := f.requestReports(ctx, x, sampled)
	acceptAny := func(int) bool { return true }
	i, ok := chooseLeastLoaded(x, sampled, reports, acceptAny)
	if need.AffinityKey != "" && (!ok || reports[i].Prefilling+reports[i].Queued > 0) {
		// The prompt would queue there, and all requests of a session rank the same
		// upstreams highest, so a random sample is polled too.
		unranked := need
		unranked.AffinityKey, unranked.Exclude = "", slices.Clone(need.Exclude)
		for _, m := range sampled {
			unranked.Exclude = append(unranked.Exclude, m.ID)
		}
		moreSampled := pool.PickN(members, unranked, placementSampleSize, time.Now())
		sampled, reports = append(sampled, moreSampled...), append(reports, f.requestReports(ctx, x, moreSampled)...)
		i, ok = chooseLeastLoaded(x, sampled, reports, acceptAny)
	}
	if !ok {
		m, found := f.pick(x, need)
		return placement{upstream: m}, found
	}
	x.log.WithFields(logrus.Fields{
		"upstream": sampled[i].ID, "writing": reports[i].Decoding, "reading": reports[i].Prefilling, "waiting": reports[i].Queued,
		"memory_used": reports[i].KVTokensUsed, "asked": len(sampled),
	}).Info("upstream chosen by its report")
	p := placement{upstream: sampled[i]}
	// The other upstreams that responded are alive, whatever the list says.
	if j, ok := chooseLeastLoaded(x, sampled, reports, func(j int) bool { return sampled[j].FailureDomain != sampled[i].FailureDomain }); ok {
		p.backupHolder = sampled[j]
	}
	return p, true
}

// findBackupHolder returns a live upstream for the KV copy of a run.
func (f *Forwarder) findBackupHolder(ctx context.Context, x *exchange, m *pool.Member, excluded []string) (*pool.Member, bool) {
	need := backupHolderRequirements(m)
	need.Exclude = append(need.Exclude, excluded...)
	sampled := pool.PickN(f.Pool.Members(x.service.Name), need, backupSampleSize, time.Now())
	i, ok := chooseLeastLoaded(x, sampled, f.requestReports(ctx, x, sampled), func(int) bool { return true })
	if !ok {
		return nil, false
	}
	return sampled[i], true
}

// backupHolderRequirements prefers an upstream outside the failure domain of the run.
func backupHolderRequirements(m *pool.Member) pool.Requirements {
	return pool.Requirements{KVCopy: true, Exclude: []string{m.ID}, AvoidDomains: []string{m.FailureDomain}}
}

// chooseLeastLoaded returns the index of the least loaded upstream that has room for
// the request, or of the least loaded one that responded.
func chooseLeastLoaded(x *exchange, members []*pool.Member, reports []*pool.LoadReport, accept func(i int) bool) (int, bool) {
	usable := func(i int) bool { return !members[i].Replaced() && accept(i) }
	tokens := x.meta.PromptTokens + x.meta.OutputTokens
	if i, ok := pool.ChooseByReport(reports, func(i int) bool { return usable(i) && reports[i].Fits(tokens) }); ok {
		return i, true
	}
	return pool.ChooseByReport(reports, usable)
}

// requestReports polls upstreams for their load; the report of an upstream that does
// not respond is nil.
func (f *Forwarder) requestReports(ctx context.Context, x *exchange, members []*pool.Member) []*pool.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reports := make([]*pool.LoadReport, len(members))
	var pending sync.WaitGroup
	for i, m := range members {
		pending.Go(func() { reports[i], _ = f.requestReport(ctx, x.log, m) }) // the error is logged there
	}
	pending.Wait()
	return reports
}

// requestReport polls an upstream for its load and updates its state. The report is nil if
// the upstream does not respond, which is an error, or pushes back.
func (f *Forwarder) requestReport(ctx context.Context, log logrus.FieldLogger, m *pool.Member) (*pool.LoadReport, error) {
	report, err := f.Prober.Load(ctx, m.Address)
	if ctx.Err() == context.Canceled {
		return nil, ctx.Err() // the caller disconnected
	}
	if err != nil {
		log.WithField("upstream", m.ID).WithError(err).Info("upstream did not report its load")
		m.MarkLost(time.Now())
		return nil, err
	}
	m.MarkAlive(time.Now())
	if report.Leaving {
		f.recordLeaving(log, m)
	}
	if report.Rate.Stated {
		f.recordRate(log, m, report.Rate, time.Now())
	}
	if report.RetryAfter > 0 {
		m.StartPushback(time.Now(), report.RetryAfter)
		return nil, nil
	}
	if !m.ObserveStartTime(report.StartedAt) {
		f.identify(log, m)
	}
	return &report, nil
}

// identify reads the new ID of a restarted upstream, so that it is usable before the
// list shows it. The address may have passed to an upstream of another service instead.
// Only engines report their load, so if a single service has engines, an upstream that
// reports belongs to that service.
func (f *Forwarder) identify(log logrus.FieldLogger, m *pool.Member) {
	table := f.Tables.Current()
	if !table.IsOnlyEngineService(m.Service) || !m.TryStartIdentify() {
		return
	}
	healthPath := table.Service(m.Service).HealthPath
	log = log.WithFields(logrus.Fields{"upstream": m.ID, "address": m.Address})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		defer cancel()
		identity, leaving, err := f.fetchIdentity(ctx, m.Address, healthPath)
		m.FinishIdentify(identity)
		if err != nil {
			log.WithError(err).Info("restarted upstream was not identified")
			return
		}
		if leaving {
			f.recordLeaving(log, m)
		}
		log.WithFields(logrus.Fields{"new_id": identity.ID, "born": identity.StartedAt}).Info("restarted upstream identified")
	}()
}

// checkSuspected starts health checks of the suspected upstreams of a plain service.
func (f *Forwarder) checkSuspected(x *exchange) {
	if x.service.Engine != nil {
		return // engines are polled for load
	}
	now := time.Now()
	for _, m := range f.Pool.Members(x.service.Name) {
		if !m.InPushback(now) && m.TryStartCheck(now, checkInterval) && m.TakeRequest(now) {
			go f.checkHealth(x, m)
		}
	}
}

func (f *Forwarder) checkHealth(x *exchange, m *pool.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	log := f.Log.WithFields(logrus.Fields{"upstream": m.ID, "address": m.Address, "cause_request": x.meta.ID})
	f.Metrics.countLimited(m, healthCheck)
	health, err := f.Prober.Health(ctx, m.Address, x.service.HealthPath)
	switch {
	case err != nil:
		log.WithError(err).Info("suspected upstream did not respond")
		return
	case health.ID != m.Current().ID:
		m.MarkReplaced(0)
		log.WithField("new_id", health.ID).Info("suspected upstream was replaced")
		return
	}
	if health.Leaving {
		f.recordLeaving(log, m)
	}
	if health.Rate.Stated {
		f.recordRate(log, m, health.Rate, time.Now())
	}
	if health.RetryAfter > 0 {
		m.StartPushback(time.Now(), health.RetryAfter)
	}
	switch {
	case !health.Ready:
		log.WithFields(logrus.Fields{"leaving": health.Leaving, "wanted_ms": health.RetryAfter.Milliseconds()}).Info("suspected upstream reported that it is unhealthy")
	default:
		m.MarkAlive(time.Now())
		log.Info("suspected upstream is healthy again")
	}
}

// fetchIdentity reads the ID between two load reports with the same start time, so that
// all three responses come from one process.
func (f *Forwarder) fetchIdentity(ctx context.Context, address, healthPath string) (identity pool.Identity, leaving bool, err error) {
	before, err := f.Prober.Load(ctx, address)
	if err != nil {
		return pool.Identity{}, false, err
	}
	health, err := f.Prober.Health(ctx, address, healthPath)
	if err != nil {
		return pool.Identity{}, false, err
	}
	after, err := f.Prober.Load(ctx, address)
	if err != nil {
		return pool.Identity{}, false, err
	}
	if before.StartedAt == 0 || before.StartedAt != after.StartedAt {
		return pool.Identity{}, false, errUpstreamRestarted
	}
	return pool.Identity{ID: health.ID, StartedAt: after.StartedAt}, health.Leaving || after.Leaving, nil
}
