package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

const (
	readHeaderTimeout = 10 * time.Second
	// flushTimeout bounds the last writes of dispatch records at shutdown.
	flushTimeout = 10 * time.Second
	// liveWindow is the age of the last contact up to which another instance is
	// given work, such as watching an upstream.
	liveWindow = 3 * time.Second
)

// Instance is one instance, provisioned from its settings.
type Instance struct {
	settings *settings.Settings
	log      logrus.FieldLogger

	clock      *timeline.Clock
	events     *timeline.Log
	collector  *timeline.Collector
	transport  *link.QUIC
	membership *membership.Membership
	holder     *configuration.Holder
	follower   *configuration.Follower
	upstreams  *upstream.Upstreams
	digests    *upstreamSection
	admission  *workspace.Admission
	caller     *dispatch.Caller
	registry   *generation.Registry
	life       *life
	activity   *activity
	metrics    *metrics
	handler    *handler
}

// Provision builds an instance from checked settings and binds its link. It
// sends nothing yet.
func Provision(s *settings.Settings, log logrus.FieldLogger) (*Instance, error) {
	i := &Instance{
		settings: s,
		log:      log.WithField("instance", s.Instance),
		clock:    timeline.NewClock(),
		holder:   configuration.NewHolder(),
		activity: &activity{},
		metrics:  newMetrics(),
	}
	i.events = timeline.NewLog(s.Instance, i.clock, s.TimelineCapacity)
	record := recorder{next: i.events, metrics: i.metrics}
	if err := i.provisionLink(record); err != nil {
		return nil, err
	}
	table := platformhttp.NewTableService(i.platformConfig(s.Platform.TableAddress))
	acceptor := i.provisionConfiguration(table, record)
	i.provisionUpstreams(record)
	i.provisionRequests(table, record)
	i.handler = &handler{
		log: i.log, source: i.holder, holder: i.holder, store: configuration.NewStore(table), acceptor: acceptor,
		registry: i.registry, caller: i.caller, upstreams: i.upstreams, membership: i.membership,
		events: i.events, collector: i.collector, activity: i.activity, metrics: i.metrics, life: i.life,
	}
	i.registerMetrics()
	return i, nil
}

func (i *Instance) platformConfig(address string) platformhttp.Config {
	return platformhttp.Config{Address: address, Timeout: milliseconds(i.settings.Platform.TimeoutMS)}
}

// provisionLink builds the connections to other instances.
func (i *Instance) provisionLink(record timeline.Recorder) error {
	s := i.settings
	transport, err := link.NewQUIC(link.Config{
		Address:         s.LinkAddress,
		AuthorityFile:   s.TLS.AuthorityFile,
		CertificateFile: s.TLS.CertificateFile,
		KeyFile:         s.TLS.KeyFile,
		Resolve:         func(id contract.InstanceID) (string, bool) { return i.membership.Address(id) },
		Log:             i.log,
	})
	if err != nil {
		return err
	}
	i.transport = transport
	if self := transport.Self(); self.Instance != s.Instance || self.Region != s.Region {
		return errors.Newf("tls.certificate_file: names instance %s of region %s, the settings name %s of %s",
			self.Instance, self.Region, s.Instance, s.Region)
	}
	i.membership, err = membership.New(membership.Config{
		Self: membership.Member{
			ID: s.Instance, Address: s.AdvertiseLinkAddress, Domain: s.FailureDomain, Region: s.Region,
		},
		Seeds:     seeds(s),
		List:      i.sharedList(),
		Transport: transport,
		Clock:     i.clock,
		Recorder:  record,
		Log:       i.log,
		Announce: func(peer contract.InstanceID, head int64) bool {
			return i.follower.Announce(configuration.Version(head), peer)
		},
		Interval:      milliseconds(s.HeartbeatIntervalMS),
		ListInterval:  milliseconds(s.ListIntervalMS),
		DepartureHold: milliseconds(s.DepartureHoldMS),
	})
	if err != nil {
		return err
	}
	i.collector = timeline.NewCollector(i.events, transport)
	return nil
}

func (i *Instance) sharedList() platform.InstanceList {
	return &sharedList{
		InstanceList: platformhttp.NewInstanceList(i.platformConfig(i.settings.Platform.ListAddress)),
		maxAge:       milliseconds(i.settings.ListIntervalMS) / 2,
	}
}

func seeds(s *settings.Settings) []membership.Member {
	members := make([]membership.Member, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		members = append(members, membership.Member{
			ID: seed.ID, Address: seed.LinkAddress, Domain: seed.FailureDomain, Region: s.Region,
		})
	}
	return members
}

// provisionConfiguration builds what keeps the configuration in force.
func (i *Instance) provisionConfiguration(table platform.TableService, record timeline.Recorder) *configuration.Acceptor {
	spread := &spread{holder: i.holder, transport: i.transport, membership: i.membership}
	i.transport.Handle(messageFetchConfiguration, spread.answerFetch)
	i.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store:        configuration.NewStore(table),
		Holder:       i.holder,
		Fetch:        spread.fetch,
		PollInterval: milliseconds(i.settings.ConfigIntervalMS),
		Recorder:     record,
		Log:          i.log,
	})
	i.life = newLife(i.log, i.follower, i.membership)
	spread.update = func() { i.life.update(time.Now()) }
	i.holder.Subscribe(func(*configuration.Snapshot) { i.membership.Push() })
	return configuration.NewAcceptor(configuration.AcceptorConfig{
		Store:     configuration.NewStore(table),
		Holder:    i.holder,
		MayAccept: i.life.mayAccept,
		Publish:   spread.publish,
		Recorder:  record,
		Log:       i.log,
	})
}

// provisionUpstreams builds what knows the upstreams.
func (i *Instance) provisionUpstreams(record timeline.Recorder) {
	i.upstreams = upstream.New(upstream.Config{
		Self:          upstream.Member{ID: i.settings.Instance, FailureDomain: i.settings.FailureDomain},
		Configuration: i.holder,
		List:          i.sharedList(),
		Engines:       enginehttp.NewDialer(),
		Services:      servicehttp.New(servicehttp.Config{}),
		Recorder:      record,
		Instances:     i.liveInstances,
		Logger:        i.log,
		Seed:          uint64(time.Now().UnixNano()),
	})
	i.digests = newUpstreamSection(i.upstreams)
	i.membership.Register(i.digests.section())
}

// liveInstances returns the other instances that were heard from and stay.
func (i *Instance) liveInstances() []upstream.Member {
	now := time.Now()
	view := i.membership.View()
	live := []upstream.Member{{ID: i.settings.Instance, FailureDomain: i.settings.FailureDomain}}
	for _, m := range view.Members() {
		if m.State != membership.Draining && now.Sub(latest(m.Contact, m.Direct)) <= liveWindow {
			live = append(live, upstream.Member{ID: m.ID, FailureDomain: m.Domain})
		}
	}
	return live
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// provisionRequests builds what runs requests.
func (i *Instance) provisionRequests(table platform.TableService, record timeline.Recorder) {
	i.admission = workspace.NewAdmission(workspace.Config{
		Instance:      i.settings.Instance,
		Configuration: i.holder,
		Capacity:      i.upstreams.Capacity,
		Instances:     func() int { return len(i.liveInstances()) },
	})
	demand := newDemandSection(i.admission)
	i.digests.restarted = demand.forget
	i.membership.Register(demand.section())
	i.caller = dispatch.NewCaller(dispatch.Config{
		Configuration: i.holder,
		Router:        i.upstreams,
		Services:      servicehttp.New(servicehttp.Config{}),
		Table:         table,
		Admitter:      i.admission,
		Timeline:      record,
		Log:           i.log,
		Retention:     milliseconds(i.settings.RecordRetentionMS),
		Instances:     func() int { return len(i.liveInstances()) },
	})
	i.registry = generation.NewRegistry(generation.Config{
		Instance:  i.settings.Instance,
		Router:    i.upstreams,
		Dialer:    enginehttp.NewDialer(),
		Recorder:  record,
		Admitter:  i.admission,
		Transport: i.transport,
		Peers:     func() []contract.InstanceID { return i.membership.View().Peers() },
	})
}

// Run serves until a drain has ended. ctx begins the drain when it ends; no
// request is ended by it.
func (i *Instance) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", i.settings.APIAddress)
	if err != nil {
		return errors.Wrap(err, "api_address")
	}
	server, err := i.server()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group := i.startBackground(background)
	group.Go(func() error {
		defer stop()
		return i.serve(ctx, server, listener)
	})
	i.log.WithFields(logrus.Fields{
		"api_address": listener.Addr(), "link_address": i.transport.Address(), "failure_domain": i.settings.FailureDomain,
	}).Info("instance started")
	err = group.Wait()
	i.log.WithError(err).Info("instance stopped")
	return err
}

// startBackground starts everything but the HTTP interface.
func (i *Instance) startBackground(ctx context.Context) *errgroup.Group {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreEnd(i.transport.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(i.membership.Run(ctx)) })
	group.Go(func() error { return ignoreEnd(i.follower.Run(ctx)) })
	for _, run := range []func(context.Context){i.upstreams.Run, i.admission.Run, i.caller.Run, i.life.run} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return group
}

// ignoreEnd drops the error of a context that ended as planned.
func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve serves HTTP until a drain has ended.
func (i *Instance) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		i.life.drain()
	case <-i.life.draining:
	case err := <-failed:
		return errors.Wrap(err, "serve HTTP")
	}
	// Callers' next requests then use new connections, which the balancer
	// leads to other instances.
	server.SetKeepAlivesEnabled(false)
	i.log.WithField("generations", i.registry.Active()).Info("drain started")
	i.life.awaitQuiet(context.Background(), i.activity, i.registry.Active, milliseconds(i.settings.DrainLingerMS))
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := i.caller.Flush(flushCtx); err != nil {
		i.log.WithError(err).Warn("dispatch records were not all settled")
	}
	return server.Shutdown(flushCtx)
}

func (i *Instance) server() (*http.Server, error) {
	operations, err := oas.NewServer(i.handler, i.handler, oas.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", i.serveReady)
	mux.Handle("GET /metrics", i.metrics.handler())
	mux.Handle("/", operations)
	return &http.Server{Handler: stopOnInvariant(mux), ReadHeaderTimeout: readHeaderTimeout}, nil
}

// serveReady answers 200 while the balancer should send work here.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := i.life.current()
	if state != StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(state) + "\n"))
}

// stopOnInvariant lets a broken invariant stop the process. net/http would
// otherwise recover the panic of a handler and go on.
func stopOnInvariant(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if violation, ok := value.(contract.InvariantViolation); ok {
				go panic(violation)
				select {}
			}
			panic(value)
		}()
		next.ServeHTTP(w, r)
	})
}
