// Package gateway runs an instance that forwards routed requests: it starts the
// components, responds to the readiness checks of the load balancer, and drains requests
// before it stops.
//
// The package must never report ready before it has a configuration, and must never end a
// request without a complete answer because the instance is leaving, unless the answer has
// begun when the grace time ends.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
	"foxtailhub.example/foxtailhub/internal/notices"
	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/route"
)

const (
	// headerTimeout is the header time-out for readiness checks and scrapes of metrics.
	headerTimeout = 5 * time.Second
	// balancerDetectionTime is the time after which a load balancer that checks once a
	// second has seen two failed readiness checks, and sends no new connections.
	balancerDetectionTime = 2500 * time.Millisecond
	// drainPollInterval is the time between checks for requests in progress during a drain.
	drainPollInterval = 50 * time.Millisecond
)

// Platform holds the platform's implementations that a gateway uses.
type Platform struct {
	Store        discovery.Store
	Eras         *discovery.EraTracker // observes the responses to Store; nil: the store has no eras
	Decoder      discovery.Decoder
	Protocol     forward.Protocol
	Prober       forward.UpstreamProber
	KVCopier     forward.KVCopier
	PromptFinder forward.PromptFinder
	// ReadinessPath is the path of the load balancer's readiness checks.
	ReadinessPath string
	// Clock keeps running while the machine is suspended; nil: a clock that does not.
	Clock discovery.Clock
}

// Gateway is one instance that forwards requests of callers.
type Gateway struct {
	settings      *Settings
	platform      Platform
	log           logrus.FieldLogger
	registry      *prometheus.Registry
	configuration *discovery.ActiveConfiguration
	upstreams     *discovery.UpstreamList
	sync          *syncParts
	started       time.Time
	pool          *pool.Pool
	forwarder     *forward.Forwarder
	drainState    *forward.DrainState
	runTimes      runTimes
	draining      atomic.Bool // the drain has begun
	reportedReady atomic.Bool // result of the last readiness check
	listen        func(network, address string) (net.Listener, error)
}

// New returns a gateway that is not running yet.
func New(settings *Settings, platform Platform, logger *logrus.Logger) *Gateway {
	log := logger.WithField("instance", settings.Instance)
	if platform.Eras == nil {
		platform.Eras = discovery.NewEraTracker()
	}
	g := &Gateway{
		settings: settings, platform: platform, log: log,
		registry: prometheus.NewRegistry(), pool: pool.New(), drainState: forward.NewDrainState(), listen: net.Listen, started: time.Now(),
	}
	g.configuration = discovery.NewActiveConfiguration(platform.Decoder, log)
	g.upstreams = discovery.NewUpstreamList(g.pool, platform.Decoder, log)
	startup := newStartup(discovery.Configuration, discovery.Upstreams)
	ledger := poison.NewLedger()
	quarantine := poison.NewQuarantine(ledger)
	storeFailing := func() bool { return g.sync.backoff.Failing() }
	exchange := notices.New(notices.Config{
		Instance: settings.Instance, Store: platform.Store, StoreFailing: storeFailing, Pool: g.pool, Quarantine: quarantine, Ledger: ledger, Log: log,
	})
	g.forwarder = forward.New(forward.Config{
		Tables: g.configuration, Pool: g.pool, Protocol: platform.Protocol, Prober: platform.Prober, KVCopier: platform.KVCopier, PromptFinder: platform.PromptFinder,
		RetryBudgets: forward.NewRetryBudgets(settings.RetryShare),
		Log:          log, Metrics: forward.NewMetrics(g.registry), Drain: g.drainState,
		Startup: startup.done, StoreUnreachable: g.storeUnavailable, Quarantine: quarantine, CrashExchange: exchange.Crashes(), ShareRate: exchange.ShareRate,
		Poison: ledger, PartExchange: exchange.Parts(),
		BodyMemory: forward.NewBodyMemory(settings.bodyMemory(), log), MaxRequests: settings.maxRequests(),
	})
	registerUsageGauges(g.registry, g.forwarder)
	g.sync = newSyncParts(g, startup, exchange)
	return g
}

// storeUnavailable reports whether the last call to the store failed, or the first reads
// have had more time than a working store needs.
func (g *Gateway) storeUnavailable() bool {
	return g.sync.backoff.Failing() || time.Since(g.started) > firstReadTimeout
}

// Run serves until ctx ends, then drains the requests in progress.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, task := range g.sync.tasks() {
		group.Go(func() error {
			task(background)
			return nil
		})
	}
	group.Go(func() error {
		g.runTimes.record(background)
		return nil
	})
	readiness := &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: headerTimeout}
	front := &http.Server{Handler: g.forwarder, MaxHeaderBytes: maxHeaderBytes, ConnState: trackConnState}
	servers := map[*http.Server]string{front: g.settings.FrontAddress, readiness: g.settings.ReadinessAddress}
	if g.settings.MetricsAddress != "" {
		servers[&http.Server{Handler: g.metricsHandler(), ReadHeaderTimeout: headerTimeout}] = g.settings.MetricsAddress
	}
	var callers callerListener
	for server, address := range servers {
		listener, err := g.listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		defer server.Close()
		if server == front {
			callers = newCallerListener(netutil.LimitListener(listener, g.settings.maxConnections()), g.limits)
			listener = callers
		}
		group.Go(func() error {
			err := server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) || g.draining.Load() && errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrapf(err, "serve %s", address)
		})
	}
	g.log.WithFields(logrus.Fields{
		"domain": g.settings.FailureDomain, "front": g.settings.FrontAddress, "store": g.settings.StoreAddress,
	}).Info("gateway started")
	select {
	case <-ctx.Done():
	case <-background.Done():
		return group.Wait()
	}
	g.drain(callers)
	g.log.Info("gateway stopped")
	return nil
}

// limits returns the limits for callers of the configuration in force.
func (g *Gateway) limits() route.Limits {
	if table := g.configuration.Current(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// registerUsageGauges registers gauges of the requests in progress and their memory.
func registerUsageGauges(registry prometheus.Registerer, f *forward.Forwarder) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "foxtailhub_forward_requests_in_progress", Help: "Requests in progress.",
		}, func() float64 { return float64(f.ActiveRequests()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "foxtailhub_forward_body_bytes", Help: "Memory for bodies of requests and answers in use, in bytes.",
		}, func() float64 { return float64(f.BodyMemory.Used()) }),
	)
}

// beginLeaving fails the readiness checks from now on, and counts the grace time from the
// earliest time at which the signal may have been sent.
func (g *Gateway) beginLeaving() {
	now := time.Now()
	signalAt := g.runTimes.earliestSignal(now)
	g.drainState.Start(signalAt.Add(milliseconds(g.settings.GraceMS)))
	g.draining.Store(true)
	g.sync.syncer.SetLeaving()
	streamDuration, streamsKnown := g.drainState.StreamDuration()
	g.log.WithFields(logrus.Fields{
		"requests": g.forwarder.ActiveRequests(), "grace_ms": g.settings.GraceMS, "stream_ms": streamDuration.Milliseconds(), "streams_known": streamsKnown,
		"late_ms_max": now.Sub(signalAt).Milliseconds(),
	}).Info("gateway leaving")
}

// drain waits until the load balancer has noticed that the instance is leaving and the last
// request has ended, and closes the front listener. It has no time-out of its own: the process
// is killed after the grace time.
func (g *Gateway) drain(front callerListener) {
	began := time.Now()
	g.beginLeaving()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Since(began) < balancerDetectionTime || g.forwarder.ActiveRequests() > 0 {
		<-ticker.C
	}
	if err := front.Drain(context.Background()); err != nil {
		g.log.WithError(err).Warn("front listener was not closed")
	}
}

// isReady reports whether the load balancer should send callers to this instance.
func (g *Gateway) isReady() bool {
	return !g.draining.Load() && g.configuration.Current() != nil && g.pool.Size() > 0
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		ready := g.isReady()
		if g.reportedReady.Swap(ready) != ready {
			g.log.WithFields(logrus.Fields{
				"ready": ready, "leaving": g.draining.Load(), "configuration_known": g.configuration.Current() != nil, "upstreams": g.pool.Size(),
			}).Info("readiness changed")
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	return mux
}
