package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/notices"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/storesync"
	"foxtailhub.example/foxtailhub/internal/tlskeys"
)

const (
	// maxAgeShare is the maximum age of a topic as a share of the time within which a
	// change must take effect. The rest is reserved for the response of a slow store.
	maxAgeShare = 0.6
	// noticesMaxAge is the maximum age of the topic Notices: content that has crashed three
	// upstreams must reach no more of them some seconds later.
	noticesMaxAge = 7 * time.Second
	// noticesPollHold is the long-poll wait for notices, which are rare.
	noticesPollHold = 15 * time.Second
	// instancesMaxAge and instancesPollInterval apply to the instances of the fleet, which
	// change rarely and are harmless when out of date.
	instancesMaxAge       = 30 * time.Second
	instancesPollInterval = 10 * time.Second
	// instancesSettleTime is the time in which all instances read a changed list of
	// instances: the longest poll interval, and time for a slow store.
	instancesSettleTime = instancesPollInterval + 5*time.Second
	// firstStartSettleTime is that time in a fleet that starts for the first time, for the
	// instances that register within firstStartWindow: all read the list once more at the
	// end of registerSpread. The machines of a fleet start within 0.3 s.
	firstStartSettleTime = registerSpread + 2*time.Second
	firstStartWindow     = registerSpread - 300*time.Millisecond
	// registerSpread is the time over which a fleet that starts for the first time
	// registers: 300 instances make 150 writes a second, and one partition of the store
	// accepts 200.
	registerSpread = 2 * time.Second
	// linkRegion is the region in the certificates of a fleet, which has one certificate
	// authority.
	linkRegion = "fleet"
	// linkRetryPause is the pause after links failed.
	linkRetryPause = 5 * time.Second
	// linkRestartDelay is the time after a change of the fleet's secret in which instances pass it
	// on over their present links, and linkRestartSpread that over which they open new ones.
	linkRestartDelay  = time.Second
	linkRestartSpread = 2 * time.Second
)

// errSecretReplaced ends links whose certificates follow from a former secret of the fleet.
var errSecretReplaced = errors.New("the secret of the fleet was replaced")

// syncParts are the components that synchronize an instance with the store.
type syncParts struct {
	settings   *Settings
	pool       *pool.Pool
	started    time.Time
	log        logrus.FieldLogger
	backoff    *discovery.Backoff
	changeLogs map[discovery.Topic]*discovery.ChangeLog
	readers    []*discovery.Reader
	members    *storesync.Members
	syncer     *storesync.Syncer
	registrar  *storesync.Registrar
	notices    *notices.Exchange
}

func newSyncParts(g *Gateway, startup *startup, exchange *notices.Exchange) *syncParts {
	settings, log := g.settings, g.log
	clock := g.platform.Clock
	if clock == nil {
		clock = func() time.Duration { return time.Since(g.started) }
	}
	self := storesync.Member{
		ID: contract.InstanceID(settings.Instance), Address: settings.LinkAddress,
		Domain: contract.FailureDomainID(settings.FailureDomain), Weight: settings.Weight,
	}
	p := &syncParts{settings: settings, pool: g.pool, started: g.started, notices: exchange, log: log, changeLogs: map[discovery.Topic]*discovery.ChangeLog{}, members: storesync.NewMembers(self, log)}
	p.backoff = discovery.NewBackoff(func(failing bool) {
		startup.finish()
		for _, reader := range p.readers {
			reader.StoreStateChanged(failing)
		}
		g.upstreams.StoreStateChanged(failing)
		p.syncer.StoreStateChanged(failing)
	})
	configurationMaxAge := time.Duration(maxAgeShare * float64(milliseconds(settings.ConfigurationMS)))
	upstreamsMaxAge := time.Duration(maxAgeShare * float64(milliseconds(settings.LeavingMS)))
	var spread time.Duration
	if settings.FirstStart {
		spread = registerSpread
	}
	p.syncer = storesync.NewSyncer(storesync.Config{
		Self: self, LinksEnabled: settings.LinkAddress != "", Members: p.members, Logs: p.changeLogs, Clock: clock, StoreFailing: p.backoff.Failing,
		StartupSpread: spread, Eras: g.platform.Eras, Log: log, Metrics: storesync.NewMetrics(g.registry),
		MaxAge: map[discovery.Topic]time.Duration{
			discovery.Configuration: configurationMaxAge, discovery.Upstreams: upstreamsMaxAge,
			discovery.Notices: noticesMaxAge, discovery.Instances: instancesMaxAge,
		},
	})
	p.registrar = &storesync.Registrar{Store: g.platform.Store, Self: self, Members: p.members, Syncer: p.syncer, Clock: clock, Log: log}
	calls := newCallCounter(g.registry)
	addReader := func(topic discovery.Topic, schedule func() discovery.PollSchedule, equal func(a, b discovery.Row) bool, apply func(discovery.Batch, time.Duration), options ...discovery.ChangeLogOption) {
		p.changeLogs[topic] = discovery.NewChangeLog(topic, clock, equal, log, apply, options...)
		registerEraGauge(g.registry, topic, p.changeLogs[topic])
		if topic == discovery.Instances && settings.LinkAddress == "" {
			return
		}
		p.readers = append(p.readers, discovery.NewReader(discovery.ReaderConfig{
			Store: g.platform.Store, Topic: topic, Backoff: p.backoff, Clock: clock, Logger: log, CountCall: calls.count, ChangeLog: p.changeLogs[topic], Eras: g.platform.Eras,
			Schedule:     func() discovery.PollSchedule { return p.syncer.PollSchedule(topic, schedule()) },
			WaitUntilDue: func(ctx context.Context, last time.Time) { p.syncer.AwaitRead(ctx, topic, schedule(), last) },
			AwaitPeers:   func(ctx context.Context) bool { return p.syncer.AwaitPeers(ctx, topic) },
		}))
	}
	addReader(discovery.Configuration, fixed(discovery.PollSchedule{Wait: configurationMaxAge}), discovery.SameValue, startup.trackApplied(discovery.Configuration, g.configuration.Apply),
		discovery.KeepNewer(discovery.OutdatedConfiguration(g.platform.Decoder)))
	addReader(discovery.Upstreams, func() discovery.PollSchedule {
		return g.upstreams.Schedule(discovery.PollSchedule{Pause: upstreamsMaxAge})
	}, g.upstreams.SameEntry, startup.trackApplied(discovery.Upstreams, g.upstreams.Apply))
	addReader(discovery.Notices, fixed(discovery.PollSchedule{Wait: noticesPollHold}), discovery.SameValue, exchange.Keeper().Apply)
	addReader(discovery.Instances, fixed(discovery.PollSchedule{Pause: instancesPollInterval}), discovery.SameValue, p.members.Apply)
	return p
}

// fixed returns a function that returns a schedule.
func fixed(schedule discovery.PollSchedule) func() discovery.PollSchedule {
	return func() discovery.PollSchedule { return schedule }
}

// tasks returns the background tasks, each of which runs until its context ends.
func (p *syncParts) tasks() []func(context.Context) {
	all := p.notices.Tasks()
	for _, reader := range p.readers {
		all = append(all, reader.Run)
	}
	if p.settings.LinkAddress != "" {
		all = append(all, p.syncer.Run, p.registrar.Run, p.runLinks, p.followFleet)
	}
	return all
}

// settleTime returns the time after the registration of this instance in which all others
// read the list of instances.
func (p *syncParts) settleTime(listedAt time.Time) time.Duration {
	if p.settings.FirstStart && listedAt.Sub(p.started) < firstStartWindow {
		return firstStartSettleTime
	}
	return instancesSettleTime
}

// followFleet keeps the pool's list of instances up to date.
func (p *syncParts) followFleet(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.members.Changed()
		p.pool.SetFleet(p.members.Fleet(p.settleTime))
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// runLinks runs links to the other instances once the failure domain is large enough for
// them, and restarts them after a failure.
func (p *syncParts) runLinks(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.members.Changed()
		if p.members.LinksUsable() {
			err := p.serveLinks(ctx)
			if ctx.Err() != nil {
				return
			}
			p.syncer.SetTransport(nil)
			if errors.Is(err, errSecretReplaced) {
				p.log.WithError(err).Warn("links to other instances are opened again")
				continue
			}
			p.log.WithError(err).Error("links to other instances failed; reading the store directly")
			select {
			case <-time.After(linkRetryPause):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// awaitNewSecret ends links by stop after the secret of the fleet was replaced.
func (p *syncParts) awaitNewSecret(ctx context.Context, used []byte, stop context.CancelCauseFunc) {
	for {
		changed := p.members.Changed()
		if !bytes.Equal(p.members.AuthoritySecret(), used) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-time.After(linkRestartDelay + time.Duration(rand.Float64()*float64(linkRestartSpread))):
		stop(errSecretReplaced)
	case <-ctx.Done():
	}
}

// serveLinks runs the links until ctx ends, they fail, or the secret of the fleet is replaced.
func (p *syncParts) serveLinks(ctx context.Context) error {
	secret := p.members.AuthoritySecret()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	authority, err := tlskeys.DeriveAuthority(secret)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(p.settings.LinkAddress)
	if err != nil {
		return errors.Wrap(err, "link_address")
	}
	certificate, err := authority.NewCertificate(tlskeys.Identity{
		ID: contract.InstanceID(p.settings.Instance), Region: linkRegion, Addresses: []netip.Addr{address.Addr()},
	})
	if err != nil {
		return err
	}
	transport, err := link.NewQUICTransport(link.Config{
		Address: p.settings.LinkAddress, Certificate: &certificate, Authority: authority.CertPool(), Log: p.log,
		Resolve: func(id contract.InstanceID) (string, bool) {
			member, found := p.members.Find(id)
			return member.Address, found
		},
	})
	if err != nil {
		return err
	}
	p.syncer.Register(transport)
	p.syncer.SetTransport(transport)
	defer p.notices.Connect(transport, p.members)()
	p.log.WithFields(logrus.Fields{"address": p.settings.LinkAddress, "domain_members": len(p.members.DomainMembers()), "members": p.members.Count()}).Info("links to other instances are open")
	go p.awaitNewSecret(ctx, secret, stop)
	err = transport.Run(ctx)
	if cause := context.Cause(ctx); errors.Is(cause, errSecretReplaced) {
		return errors.CombineErrors(cause, err)
	}
	return err
}

// registerEraGauge exposes the era of the rows of a topic.
func registerEraGauge(registry prometheus.Registerer, topic discovery.Topic, changeLog *discovery.ChangeLog) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "foxtailhub_store_era", Help: "Era of the store that the rows of a topic are from; 0 before the first.",
		ConstLabels: prometheus.Labels{"topic": topic.String()},
	}, func() float64 {
		held, _ := changeLog.Revision()
		return float64(held.Era)
	}))
}

// callCounter counts calls to the store by topic and outcome.
type callCounter struct{ calls *prometheus.CounterVec }

func newCallCounter(registry prometheus.Registerer) callCounter {
	c := callCounter{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailhub_store_calls_total", Help: "Calls to the platform's store, by topic and outcome.",
	}, []string{"topic", "outcome"})}
	registry.MustRegister(c.calls)
	return c
}

func (c callCounter) count(topic discovery.Topic, outcome string) {
	c.calls.WithLabelValues(topic.String(), outcome).Inc()
}
