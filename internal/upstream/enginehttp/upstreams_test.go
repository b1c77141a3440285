package enginehttp_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// staticPlatform holds one configuration and a list that never changes.
type staticPlatform struct {
	platform.InstanceList
	snapshot configuration.Snapshot
}

func (p *staticPlatform) Current() *configuration.Snapshot            { return &p.snapshot }
func (p *staticPlatform) List(context.Context) (platform.List, error) { return platform.List{}, nil }

// startUpstreams runs an Upstreams over two engine stand-ins.
func startUpstreams(t *testing.T) (*upstream.Upstreams, map[contract.UpstreamID]*fixture) {
	engines := map[contract.UpstreamID]*fixture{
		"engine-1": newFixture(t, standin.EngineConfig{}), "engine-2": newFixture(t, standin.EngineConfig{}),
	}
	p := &staticPlatform{}
	p.snapshot.Document = configuration.Document{
		Services: map[contract.ServiceID]configuration.Service{"notes": {
			Kind: configuration.KindEngine, Model: pin.Model, ModelVersion: pin.Version,
			Upstreams: []contract.UpstreamID{"engine-1", "engine-2"},
		}},
		Upstreams: make(map[contract.UpstreamID]configuration.Upstream),
	}
	for id, f := range engines {
		p.snapshot.Document.Upstreams[id] = configuration.Upstream{
			Kind: configuration.KindEngine, Address: f.address, FailureDomain: contract.FailureDomainID(id)}
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	u := upstream.New(upstream.Config{
		Self: upstream.Member{ID: "instance-1"}, Configuration: p, List: p, Engines: enginehttp.NewDialer(),
		Recorder: timeline.Discard{}, Logger: logger, Instances: func() []upstream.Member { return nil }, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return u, engines
}

// Guards against differences between the HTTP client and package upstream in
// errors, leaving and crashes: the same faults as in virtual time, over loopback
// connections.
func TestUpstreamsOverLoopback(t *testing.T) {
	u, engines := startUpstreams(t)
	g := NewWithT(t)
	state := func(id contract.UpstreamID) func() upstream.State {
		return func() upstream.State {
			for _, status := range u.Status() {
				if status.ID == id && status.Incarnation != "" {
					return status.State
				}
			}
			return ""
		}
	}
	for id := range engines {
		g.Eventually(state(id), waitTimeout).Should(Equal(upstream.StateLive))
	}
	engines["engine-1"].model.Faults().Set(standin.Fault{Leaving: true, LagMS: 1})
	g.Eventually(state("engine-1"), 3*time.Second).Should(Equal(upstream.StateLeaving))

	poison := upstream.Requirements{Service: "notes", Pin: pin, Content: upstream.ContentKey{1}}
	placement, _, ok := u.Place(poison)
	g.Expect(ok).To(BeTrue())
	g.Expect(placement.Target.ID).To(BeEquivalentTo("engine-2"))
	f := engines["engine-2"]
	f.model.Faults().Set(standin.Fault{ExitOnPrompt: "poison"})
	stream, err := f.engine.Start(f.ctx, request("poison", 10))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stream.Next(f.ctx)
	g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
	placement.Done(upstream.Observation{Kind: upstream.ObservedConnectionLost, Incarnation: stream.Incarnation()})
	g.Eventually(state("engine-2"), waitTimeout).Should(Equal(upstream.StateDown))
	g.Eventually(func() int { return u.ContentStatus(poison.Content).Crashes }, waitTimeout).Should(Equal(1))
}
