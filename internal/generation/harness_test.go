package generation_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/naive"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/upstreamtest"
)

const (
	testTokens   = 60
	testInterval = 40 * time.Millisecond
	testPrefill  = 200 * time.Millisecond
	resumeBound  = 3 * time.Second
)

var testPin = upstream.ModelPin{Model: "m", Version: "1"}

// generationOpener is implemented by the registry and by the naive version.
type generationOpener interface {
	Open(context.Context, generation.Request) (*generation.Subscription, contract.Verdict, bool)
}

// harness has a set of engines and two instances in one synctest bubble.
type harness struct {
	t          *testing.T
	policy     configuration.ResumePolicy
	engines    []*upstreamtest.FakeEngine
	router     *upstreamtest.FakeRouter
	nonces     []uint64
	instances  []generationOpener
	dialers    []*upstreamtest.SeverableDialer
	links      *fakeLinks
	registries []*generation.Registry
}

// newHarness returns a harness with engines e1, e2 and e3 of version 1, engine e9
// of version 2 after e1, and two instances.
func newHarness(t *testing.T, policy configuration.ResumePolicy, useNaive bool) *harness {
	h := &harness{t: t, policy: policy}
	h.addEngine(1, "1")
	h.addEngine(9, "2")
	h.addEngine(2, "1")
	h.addEngine(3, "1")
	h.router = upstreamtest.NewFakeRouter(h.engines...)
	links := newFakeLinks()
	for i := range 2 {
		dialer := upstreamtest.NewSeverableDialer(h.router)
		config := generation.Config{
			Instance: contract.InstanceID(fmt.Sprintf("i%d", i+1)), Router: h.router, Dialer: dialer,
		}
		h.dialers = append(h.dialers, dialer)
		if useNaive {
			h.instances = append(h.instances, naive.NewGenerations(config))
			continue
		}
		config.Transport = links.transport(config.Instance)
		r := generation.NewRegistry(config)
		h.registries = append(h.registries, r)
		h.instances = append(h.instances, r)
	}
	h.links = links
	return h
}

func (h *harness) addEngine(nonce uint64, version string) {
	if version == testPin.Version {
		h.nonces = append(h.nonces, nonce)
	}
	h.engines = append(h.engines, upstreamtest.NewFakeEngine(upstreamtest.EngineConfig{
		Target: upstream.Target{ID: contract.UpstreamID(fmt.Sprintf("e%d", nonce))},
		Pin:    upstream.ModelPin{Model: "m", Version: version}, Nonce: nonce,
		FirstTokenDelay: testPrefill, TokenInterval: testInterval,
	}))
}

// close waits for the end of all generations and stops the engines.
func (h *harness) close() {
	for _, e := range h.engines {
		e.Unpause()
	}
	for _, r := range h.registries {
		NewWithT(h.t).Expect(r.AwaitIdle(h.t.Context())).To(Succeed())
	}
	if len(h.registries) > 0 {
		NewWithT(h.t).Expect(h.router.InUse()).To(BeZero(), "placements that were not released")
	}
	for _, e := range h.engines {
		e.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

func (h *harness) request(key string) generation.Request {
	return generation.Request{
		ID:      contract.RequestID{Workspace: "w", Key: key},
		Service: "s", Pin: testPin, Prompt: "prompt of " + key, MaxTokens: testTokens,
		Priority: upstream.PriorityInteractive, Policy: h.policy, MaxAttempts: 8,
		QueueUntil: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(10 * time.Minute),
		DetachGrace: 20 * time.Second,
	}
}

// serving returns the engine that runs a request.
func (h *harness) serving(r generation.Request) *upstreamtest.FakeEngine {
	for _, e := range h.engines {
		if e.Running(r.Prompt) > 0 {
			return e
		}
	}
	h.t.Fatal("no engine runs the request")
	return nil
}

// caller reads one generation and keeps the state for a reconnect.
type caller struct {
	h           *harness
	request     generation.Request
	sub         *generation.Subscription
	position    contract.Position
	texts       []string
	locator     string
	end         *generation.Event
	broken      bool
	attempts    int
	lastTokenAt time.Time
	maxGap      time.Duration // longest time between two tokens
	refused     contract.Verdict
}

func (h *harness) caller(key string) *caller {
	return &caller{h: h, request: h.request(key), position: contract.StartPosition()}
}

// connect opens the generation at an instance and reports whether it succeeded.
func (c *caller) connect(instance int, received bool) bool {
	request := c.request
	if c.locator != "" || len(c.texts) > 0 {
		request.Resume = &generation.ResumeState{Position: c.position, Locator: c.locator}
	}
	if request.Resume != nil && received {
		request.Resume.Received = append([]string(nil), c.texts...)
	}
	if c.sub != nil {
		c.sub.Close()
	}
	sub, verdict, ok := c.h.instances[instance].Open(c.h.t.Context(), request)
	c.sub, c.refused, c.broken = sub, verdict, false
	return ok
}

// read reads until the text has n tokens, the end, or a broken subscription.
func (c *caller) read(n int) {
	for len(c.texts) < n && c.end == nil && !c.broken {
		event, err := c.sub.Next(c.h.t.Context())
		if err != nil {
			return
		}
		c.handleEvent(event)
	}
}

// readAll reads to the end of the generation.
func (c *caller) readAll() { c.read(1 << 30) }

func (c *caller) handleEvent(e generation.Event) {
	switch e.Kind {
	case generation.EventStart, generation.EventAttempt:
		c.locator = e.Locator
		c.attempts++
	case generation.EventToken:
		now := time.Now()
		if !c.lastTokenAt.IsZero() {
			c.maxGap = max(c.maxGap, now.Sub(c.lastTokenAt))
		}
		c.lastTokenAt = now
		c.texts = append(c.texts, e.Text)
		c.position = e.Position
	case generation.EventEnd:
		c.end = &e
	case generation.EventBroken:
		c.broken = true
	}
}

// violation describes how the text violates P1, P2 or P3; "" if it does not.
func (c *caller) violation() string {
	if c.end == nil {
		return "no end"
	}
	if c.end.Verdict.Outcome != contract.Completed {
		return "outcome " + string(c.end.Verdict.Outcome) + " " + string(c.end.Verdict.Reason)
	}
	wrong := upstreamtest.FirstInvalidToken(c.request.Prompt, testPin, c.texts, c.h.nonces)
	if wrong >= 0 {
		return fmt.Sprintf("token %d does not follow from the text before it", wrong)
	}
	if len(c.texts) != testTokens || c.end.TokenCount != testTokens {
		return fmt.Sprintf("%d tokens, count %d", len(c.texts), c.end.TokenCount)
	}
	d := contract.NewDigester()
	d.Add(strings.Join(c.texts, ""))
	if c.end.Checksum != "" && c.end.Checksum != d.Checksum() {
		return "checksum differs"
	}
	return ""
}
