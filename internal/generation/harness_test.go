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

// opener is what the real and the naive version have in common.
type opener interface {
	Open(context.Context, generation.Request) (*generation.Subscription, contract.Verdict, bool)
}

// world is a set of engines and two instances in one synctest bubble.
type world struct {
	t         *testing.T
	policy    configuration.ResumePolicy
	engines   []*upstreamtest.FakeEngine
	router    *upstreamtest.FakeRouter
	nonces    []uint64
	instances []opener
	severed   []*upstreamtest.SeverableDialer
	links     *fakeLinks
	registry  []*generation.Registry
}

// newWorld returns engines e1, e2, e3 of version 1 with one of version 2 after
// the first, and two instances.
func newWorld(t *testing.T, policy configuration.ResumePolicy, useNaive bool) *world {
	w := &world{t: t, policy: policy}
	w.addEngine(1, "1")
	w.addEngine(9, "2")
	w.addEngine(2, "1")
	w.addEngine(3, "1")
	w.router = upstreamtest.NewFakeRouter(w.engines...)
	links := newFakeLinks()
	for i := range 2 {
		dialer := upstreamtest.NewSeverableDialer(w.router)
		config := generation.Config{
			Instance: contract.InstanceID(fmt.Sprintf("i%d", i+1)), Router: w.router, Dialer: dialer,
		}
		w.severed = append(w.severed, dialer)
		if useNaive {
			w.instances = append(w.instances, naive.NewGenerations(config))
			continue
		}
		config.Transport = links.transport(config.Instance)
		r := generation.NewRegistry(config)
		w.registry = append(w.registry, r)
		w.instances = append(w.instances, r)
	}
	w.links = links
	return w
}

func (w *world) addEngine(nonce uint64, version string) {
	if version == testPin.Version {
		w.nonces = append(w.nonces, nonce)
	}
	w.engines = append(w.engines, upstreamtest.NewFakeEngine(upstreamtest.EngineConfig{
		Target: upstream.Target{ID: contract.UpstreamID(fmt.Sprintf("e%d", nonce))},
		Pin:    upstream.ModelPin{Model: "m", Version: version}, Nonce: nonce,
		FirstToken: testPrefill, Interval: testInterval,
	}))
}

// close lets all generations end and stops the engines.
func (w *world) close() {
	for _, e := range w.engines {
		e.Unpause()
	}
	for _, r := range w.registry {
		NewWithT(w.t).Expect(r.AwaitIdle(w.t.Context())).To(Succeed())
	}
	if len(w.registry) > 0 {
		NewWithT(w.t).Expect(w.router.InUse()).To(BeZero(), "placements that were not given back")
	}
	for _, e := range w.engines {
		e.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

func (w *world) request(key string) generation.Request {
	return generation.Request{
		ID:      contract.RequestID{Workspace: "w", Key: key},
		Service: "s", Pin: testPin, Prompt: "prompt of " + key, MaxTokens: testTokens,
		Priority: upstream.PriorityInteractive, Policy: w.policy, MaxAttempts: 8,
		QueueUntil: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(10 * time.Minute),
		DetachGrace: 20 * time.Second,
	}
}

// serving returns the engine that generates for a request.
func (w *world) serving(r generation.Request) *upstreamtest.FakeEngine {
	for _, e := range w.engines {
		if e.Running(r.Prompt) > 0 {
			return e
		}
	}
	w.t.Fatal("no engine runs the request")
	return nil
}

// caller reads one generation and keeps what it needs to reconnect.
type caller struct {
	w        *world
	request  generation.Request
	sub      *generation.Subscription
	position contract.Position
	texts    []string
	locator  string
	end      *generation.Event
	broken   bool
	attempts int
	last     time.Time
	maxGap   time.Duration // longest time between two tokens
	refused  contract.Verdict
}

func (w *world) caller(key string) *caller {
	return &caller{w: w, request: w.request(key), position: contract.Start()}
}

// connect opens the generation at an instance and reports whether it is served.
func (c *caller) connect(instance int, received bool) bool {
	request := c.request
	if c.locator != "" || len(c.texts) > 0 {
		request.Resume = &generation.Resume{Position: c.position, Locator: c.locator}
	}
	if request.Resume != nil && received {
		request.Resume.Received = append([]string(nil), c.texts...)
	}
	if c.sub != nil {
		c.sub.Close()
	}
	sub, verdict, ok := c.w.instances[instance].Open(c.w.t.Context(), request)
	c.sub, c.refused, c.broken = sub, verdict, false
	return ok
}

// read reads until the text has n tokens, the end, or a broken subscription.
func (c *caller) read(n int) {
	for len(c.texts) < n && c.end == nil && !c.broken {
		event, err := c.sub.Next(c.w.t.Context())
		if err != nil {
			return
		}
		c.take(event)
	}
}

// readAll reads to the end.
func (c *caller) readAll() { c.read(1 << 30) }

func (c *caller) take(e generation.Event) {
	switch e.Kind {
	case generation.EventStart, generation.EventAttempt:
		c.locator = e.Locator
		c.attempts++
	case generation.EventToken:
		now := time.Now()
		if !c.last.IsZero() {
			c.maxGap = max(c.maxGap, now.Sub(c.last))
		}
		c.last = now
		c.texts = append(c.texts, e.Text)
		c.position = e.Position
	case generation.EventEnd:
		c.end = &e
	case generation.EventBroken:
		c.broken = true
	}
}

// violation returns how the text breaks a promise, or "".
func (c *caller) violation() string {
	if c.end == nil {
		return "no end"
	}
	if c.end.Verdict.Outcome != contract.Completed {
		return "outcome " + string(c.end.Verdict.Outcome) + " " + string(c.end.Verdict.Reason)
	}
	wrong := upstreamtest.FirstWrong(c.request.Prompt, testPin, c.texts, c.w.nonces)
	if wrong >= 0 {
		return fmt.Sprintf("token %d does not follow from the text before it", wrong)
	}
	if len(c.texts) != testTokens || c.end.Count != testTokens {
		return fmt.Sprintf("%d tokens, count %d", len(c.texts), c.end.Count)
	}
	d := contract.NewDigester()
	d.Add(strings.Join(c.texts, ""))
	if c.end.Checksum != "" && c.end.Checksum != d.Checksum() {
		return "checksum differs"
	}
	return ""
}
