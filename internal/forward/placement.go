package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/placement"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// placementSampleSize is how many upstreams are polled for their load before a
	// prompt is placed. The best of a few is nearly as good as the best of all, and
	// random sampling keeps instances with the same stale reports from choosing the
	// same upstream.
	placementSampleSize = 4
	// maxPlacementRounds is how many further samples are polled while the prompt would have to wait
	// or has no room.
	maxPlacementRounds = 2
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

// placed is the outcome of the placement of a prompt.
type placed struct {
	upstream     *pool.Member
	backupHolder *pool.Member // for the KV copy of the run; nil: none
	// noCopyRoom means that no polled upstream has room for the copy.
	noCopyRoom bool
	// yields means that the new prompt is refused so that more urgent ones find room.
	yields bool
}

// polledEngines are engines with their load reports.
type polledEngines struct {
	members []*pool.Member
	engines []placement.Engine
}

// pollEngines polls members for their load.
func (f *Forwarder) pollEngines(ctx context.Context, x *exchange, members []*pool.Member) polledEngines {
	polled := polledEngines{members: members}
	reports := f.requestReports(ctx, x.log, members)
	unreported := time.Now().Add(-placement.ReportAge)
	for i, m := range members {
		polled.engines = append(polled.engines, placement.Engine{Report: reports[i], Recent: m.PlacedSince(unreported), Usable: !m.Replaced()})
	}
	return polled
}

// choose chooses an engine for a new prompt.
func (p polledEngines) choose(x *exchange) (i int, ok bool) {
	return placement.Choose(p.engines, x.demand(), newRandom())
}

// chooseCopyHolder chooses an engine that accept allows for the KV copy of a run.
func (p polledEngines) chooseCopyHolder(x *exchange, accept func(m *pool.Member) bool) (*pool.Member, bool) {
	engines := slices.Clone(p.engines)
	for i := range engines {
		engines[i].Usable = engines[i].Usable && accept(p.members[i]) && engines[i].MayHoldCopy(x.demand())
	}
	i, ok := placement.Choose(engines, x.demand(), newRandom())
	if !ok {
		return nil, false
	}
	return p.members[i], true
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// placeByReport places a new prompt by current load reports of a few upstreams.
func (f *Forwarder) placeByReport(ctx context.Context, x *exchange, need pool.Requirements) (placed, bool) {
	need.Exclude = append(need.Exclude, x.excluded...)
	members := f.Pool.Members(x.service.Name)
	large := len(members) > searchAllLimit
	if large {
		need.AffinityKey = x.meta.PromptPartID
	}
	polled := f.pollEngines(ctx, x, pool.PickN(members, need, placementSampleSize, time.Now()))
	i, ok := polled.choose(x)
	for round := 0; large && round < maxPlacementRounds && !f.placesWell(x, polled, i, ok, round); round++ {
		// All requests of a session rank the same upstreams highest, and engines without room
		// preempt other runs, so a random sample is polled too.
		unranked := need
		unranked.AffinityKey, unranked.Exclude = "", slices.Clone(need.Exclude)
		for _, m := range polled.members {
			unranked.Exclude = append(unranked.Exclude, m.ID)
		}
		more := f.pollEngines(ctx, x, pool.PickN(members, unranked, placementSampleSize, time.Now()))
		polled = polledEngines{members: append(polled.members, more.members...), engines: append(polled.engines, more.engines...)}
		i, ok = polled.choose(x)
	}
	if !ok {
		m, found := f.pick(x, need)
		return placed{upstream: m}, found
	}
	chosen, report := polled.members[i], polled.engines[i].Report
	fits := polled.engines[i].Fits(x.demand())
	if f.yields(x, polled, fits) {
		return placed{yields: true}, false
	}
	f.Metrics.countPlacement(fits)
	x.log.WithFields(logrus.Fields{
		"upstream": chosen.ID, "writing": report.Decoding, "reading": report.Prefilling, "waiting": report.Queued, "recent": polled.engines[i].Recent,
		"memory_used": report.KVTokensUsed, "asked": len(polled.members), "fits": fits,
	}).Info("upstream chosen by its report")
	p := placed{upstream: chosen}
	// The other upstreams that responded are alive, whatever the list says.
	otherDomain := func(m *pool.Member) bool { return m.FailureDomain != chosen.FailureDomain }
	holder, found := polled.chooseCopyHolder(x, otherDomain)
	p.backupHolder, p.noCopyRoom = holder, !found && slices.ContainsFunc(polled.members, otherDomain)
	return p, true
}

// yields reports whether a new prompt is refused so that more urgent ones find room.
func (f *Forwarder) yields(x *exchange, polled polledEngines, fits bool) bool {
	reported := 0
	for _, e := range polled.engines {
		if e.Report != nil {
			reported++
		}
	}
	return placement.Arrival{
		Fits: fits, Polled: reported, MostUrgent: f.Tables.Current().IsMostUrgent(x.service.Name, x.workspace.PriorityOn(x.route)),
		Begun: x.state.Reached > 0 || x.meta.LastEventID > 0, TimeLeft: x.timeLeft(), Timeout: x.route.Timeout,
	}.Refused()
}

// placesWell reports whether no further upstreams have to be polled. In the first round the prompt
// should not wait, in the others it should have room.
func (f *Forwarder) placesWell(x *exchange, polled polledEngines, i int, ok bool, round int) bool {
	switch {
	case !ok:
		return false
	case round == 0:
		return polled.engines[i].Idle(x.demand())
	}
	return polled.engines[i].Fits(x.demand())
}

// findBackupHolder returns a live upstream with room for the KV copy of a run.
func (f *Forwarder) findBackupHolder(ctx context.Context, x *exchange, m *pool.Member, excluded []string) (*pool.Member, bool) {
	need := backupHolderRequirements(m)
	need.Exclude = append(need.Exclude, excluded...)
	polled := f.pollEngines(ctx, x, pool.PickN(f.Pool.Members(x.service.Name), need, backupSampleSize, time.Now()))
	return polled.chooseCopyHolder(x, func(*pool.Member) bool { return true })
}

// backupHolderRequirements prefers an upstream outside the failure domain of the run.
func backupHolderRequirements(m *pool.Member) pool.Requirements {
	return pool.Requirements{KVCopy: true, Exclude: []string{m.ID}, AvoidDomains: []string{m.FailureDomain}}
}

// requestReports polls upstreams for their load; the report of an upstream that does
// not respond is nil.
func (f *Forwarder) requestReports(ctx context.Context, log logrus.FieldLogger, members []*pool.Member) []*pool.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reports := make([]*pool.LoadReport, len(members))
	var pending sync.WaitGroup
	for i, m := range members {
		pending.Go(func() { reports[i], _ = f.requestReport(ctx, log, m) }) // the error is logged there
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
