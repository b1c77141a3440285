package instance

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/conndrain"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/roster"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

const (
	readHeaderTimeout = 10 * time.Second
	// flushTimeout limits the final writes of dispatch records at shutdown.
	flushTimeout = 10 * time.Second
	// closeTimeout limits the wait for connections at shutdown whose request is not read.
	closeTimeout = 10 * time.Second
)

// Instance is one process of the system.
type Instance struct {
	settings *settings.Settings
	log      logrus.FieldLogger

	clock           *timeline.Clock
	events          *timeline.Log
	collector       *timeline.Collector
	transport       Transport
	listener        net.Listener // nil: TCP at the address in the settings
	membership      *membership.Membership
	holder          *configuration.Holder
	follower        *configuration.Follower
	rosterManager   *roster.Manager
	upstreams       *upstream.Upstreams
	upstreamDigests *upstreamSection
	admission       *workspace.Admission
	dispatcher      *dispatch.Dispatcher
	registry        *generation.Registry
	lifecycle       *lifecycle
	activity        *activity
	metrics         *metrics
	live            atomic.Pointer[liveSet]
	handler         *handler
}

// Configuration returns the configuration in force.
func (i *Instance) Configuration() *configuration.Snapshot { return i.holder.Current() }

// Run serves until a drain has completed. The end of ctx starts the drain; it
// does not end any request.
func (i *Instance) Run(ctx context.Context) error {
	listener, err := i.listen()
	if err != nil {
		return err
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
	if err == nil {
		i.log.Info("instance stopped")
	}
	return err
}

// listen returns the listener of the HTTP interface.
func (i *Instance) listen() (net.Listener, error) {
	if i.listener != nil {
		return i.listener, nil
	}
	listener, err := net.Listen("tcp", i.settings.APIAddress)
	return listener, errors.Wrap(err, "api_address")
}

// startBackground starts all components except the HTTP interface.
func (i *Instance) startBackground(ctx context.Context) *errgroup.Group {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreCanceled(i.transport.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(i.membership.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(i.follower.Run(ctx)) })
	for _, run := range []func(context.Context){i.upstreams.Run, i.admission.Run, i.dispatcher.Run, i.lifecycle.run, i.rosterManager.Run} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return group
}

// ignoreCanceled returns nil for context.Canceled, the result of a planned stop.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve serves HTTP until a drain has completed.
func (i *Instance) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	go i.watchGrace(ctx, served)
	front := conndrain.NewListener(listener)
	serveFailed := make(chan error, 1)
	go func() { serveFailed <- server.Serve(front) }()
	select {
	case <-ctx.Done():
		i.lifecycle.startDrain()
	case <-i.lifecycle.drainStarted:
	case err := <-serveFailed:
		return errors.Wrap(err, "serve HTTP")
	}
	i.log.WithField("generations", i.registry.ActiveGenerations()).Info("drain started")
	i.awaitIdle(milliseconds(i.settings.DrainLingerMS))
	i.closeServer(server, front)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := i.dispatcher.Flush(flushCtx); err != nil {
		i.log.WithError(err).Warn("not all dispatch records were written before shutdown")
	}
	return nil
}

// watchGrace starts the grace time at SIGTERM, which ends ctx. A drain that an operator
// requested has no end.
func (i *Instance) watchGrace(ctx context.Context, served <-chan struct{}) {
	if i.settings.DrainGraceMS == 0 {
		return
	}
	select {
	case <-ctx.Done():
		i.lifecycle.grace.run(milliseconds(i.settings.DrainGraceMS), served, i.log)
	case <-served:
	}
}

func (i *Instance) awaitIdle(linger time.Duration) {
	running := func() runningWork {
		return runningWork{generations: i.registry.ActiveGenerations(), calls: i.dispatcher.InFlight()}
	}
	i.lifecycle.awaitIdle(context.Background(), i.activity, running, linger)
}

// closeServer stops accepting requests and waits for those that arrived until then.
func (i *Instance) closeServer(server *http.Server, front *conndrain.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := front.Drain(ctx); err != nil {
		i.log.WithError(err).Info("connections are still open at the end of the drain")
	}
	i.awaitIdle(0)
	if err := server.Close(); err != nil {
		i.log.WithError(err).Info("connections were not closed cleanly")
	}
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
	return &http.Server{
		Handler: crashOnInvariantViolation(i.closeWhileDraining(mux)), ReadHeaderTimeout: readHeaderTimeout, ConnState: conndrain.TrackState,
	}, nil
}

// closeWhileDraining closes each connection after its next response, so that
// callers open new ones, which the load balancer sends to other instances. Idle
// connections stay open until the end of the drain: a request may be in transit.
func (i *Instance) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.lifecycle.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady responds to readiness checks: 200 while this instance should get work.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := i.lifecycle.currentState()
	if state != StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(state) + "\n"))
}

// crashOnInvariantViolation crashes the process on an invariant violation in a
// handler. net/http would otherwise recover the panic and continue to serve.
func crashOnInvariantViolation(next http.Handler) http.Handler {
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
