package upstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

const (
	// noUpstreamRetryAfter is the time after which to retry if no upstream is
	// live. A poll may find one by then.
	noUpstreamRetryAfter = 250 * time.Millisecond
	// deferredRetryAfter is the time after which to retry a content that waits
	// for an upstream or for the confirmation of a crash.
	deferredRetryAfter = 50 * time.Millisecond
)

// Config holds the dependencies of an Upstreams. All fields but Services, Seed
// and Now are required.
type Config struct {
	Self          Member
	Configuration configuration.Source
	List          platform.InstanceList
	Engines       EngineDialer
	Services      ServiceDialer // nil if no plain services are polled
	Recorder      timeline.Recorder
	Instances     func() []Member // the live instances; may omit Self
	Logger        logrus.FieldLogger
	Seed          uint64           // of the random choices
	Now           func() time.Time // default time.Now
	// OnUrgentUpdate is called when a crash, further contents of a crash or a new
	// placement of a suspect must reach the peers before they place the same
	// content or another suspect there. It must not block. Optional.
	OnUrgentUpdate func()
}

// Upstreams implements Router. Its methods are safe for concurrent use.
type Upstreams struct {
	config       Config
	snapshot     atomic.Pointer[Snapshot]
	sourcesUsed  atomic.Uint64 // random sources used so far
	stats        Stats
	pollRequests chan contract.UpstreamID // upstreams to poll immediately
	wakeups      chan struct{}            // capacity 1: the poller must scan all upstreams

	// placing serializes the placement of suspects: two concurrent placements
	// must not choose the same upstream.
	placing sync.Mutex

	mu     sync.Mutex // guards writer
	writer *writer
}

var _ Router = (*Upstreams)(nil)

// pollRequestBuffer bounds the upstreams that wait to be polled immediately. When
// it is full, the request is dropped and the regular poll follows.
const pollRequestBuffer = 256

// New returns an Upstreams. It observes no upstreams until Run is called.
func New(config Config) *Upstreams {
	if config.Now == nil {
		config.Now = time.Now
	}
	u := &Upstreams{config: config, pollRequests: make(chan contract.UpstreamID, pollRequestBuffer), wakeups: make(chan struct{}, 1)}
	u.writer = newWriter(u.config.Self, &u.stats)
	u.write(func(*writer, time.Time) {})
	return u
}

// Run polls the upstreams and the platform's list until ctx ends.
func (u *Upstreams) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { newPoller(u).run(ctx) })
	running.Go(func() { u.readLists(ctx) })
	running.Go(func() { u.maintain(ctx) })
	running.Wait()
}

// NotifyChanged reports that the configuration or the live instances have changed. Without
// it, the polls take up to 500 ms to follow.
func (u *Upstreams) NotifyChanged() {
	select {
	case u.wakeups <- struct{}{}:
	default:
	}
}

// Stats returns the counters.
func (u *Upstreams) Stats() *Stats { return &u.stats }

// current returns the newest snapshot, rebuilt if the configuration changed.
func (u *Upstreams) current() *Snapshot {
	if snapshot := u.snapshot.Load(); snapshot.config == u.config.Configuration.Current() {
		return snapshot
	}
	u.write(func(*writer, time.Time) {})
	return u.snapshot.Load()
}

// write applies a change and publishes the new snapshot.
func (u *Upstreams) write(change func(w *writer, now time.Time)) {
	u.mu.Lock()
	now := u.config.Now()
	u.writer.configure(u.config.Configuration.Current())
	change(u.writer, now)
	if snapshot := u.writer.publish(now); snapshot != nil {
		u.snapshot.Store(snapshot)
	}
	events, pollRequests := u.writer.takeOutput()
	urgent := u.writer.urgent
	u.writer.urgent = false
	u.mu.Unlock()
	if urgent && u.config.OnUrgentUpdate != nil {
		u.config.OnUrgentUpdate()
	}
	for _, event := range events {
		u.report(event)
	}
	for _, id := range pollRequests {
		u.requestPoll(id)
	}
}

func (u *Upstreams) requestPoll(id contract.UpstreamID) {
	select {
	case u.pollRequests <- id:
	default:
	}
}

func (u *Upstreams) report(event timeline.Event) { u.config.Recorder.Record(event) }

// random returns a random source for one decision. A separate source needs no
// lock on the request path.
func (u *Upstreams) random() *rand.Rand {
	return rand.New(rand.NewPCG(u.config.Seed, u.sourcesUsed.Add(1)))
}

// Place implements Router. A content with repeated crashes is deferred for a
// short time: until the crashes are confirmed or refuted and the evidence has
// reached the other instances. The caller checks its ContentStatus before each
// attempt.
func (u *Upstreams) Place(requirements Requirements) (Placement, time.Duration, bool) {
	now, snapshot := u.config.Now(), u.current()
	if snapshot.isDeferred(requirements.Content, now) {
		u.stats.Deferred.Add(1)
		return Placement{}, deferredRetryAfter, false
	}
	if !snapshot.isSuspect(requirements.Content, now) {
		return u.place(snapshot, requirements, now)
	}
	u.placing.Lock()
	defer u.placing.Unlock()
	// The old snapshot may lack suspects placed before the lock was taken.
	placement, _, ok := u.place(u.current(), requirements, now)
	if !ok {
		return Placement{}, deferredRetryAfter, false
	}
	u.write(func(w *writer, now time.Time) {
		w.markSuspectRun(placement.Target.ID, requirements.Content, now)
		w.urgent = true
	})
	return placement, 0, true
}

func (u *Upstreams) place(snapshot *Snapshot, requirements Requirements, now time.Time) (Placement, time.Duration, bool) {
	input, candidates := snapshot.selectionInput(requirements, now)
	index, ok := Choose(input, u.random())
	if !ok {
		u.stats.NotPlaced.Add(1)
		return Placement{}, noUpstreamRetryAfter, false
	}
	u.stats.Placed.Add(1)
	return u.beginRequest(candidates[index], requirements.Content), 0, true
}

// beginRequest counts a request on an upstream until Done of the Placement is
// called.
func (u *Upstreams) beginRequest(chosen *entry, content ContentKey) Placement {
	requestKey := new(byte)
	chosen.usage.inFlight.Add(1)
	if content != (ContentKey{}) {
		chosen.usage.runningContents.Store(requestKey, content)
	}
	var once sync.Once
	done := func(observation Observation) {
		once.Do(func() {
			chosen.usage.inFlight.Add(-1)
			chosen.usage.runningContents.Delete(requestKey)
			u.observe(chosen, content, observation)
		})
	}
	return Placement{Target: chosen.target, Done: done}
}

// Target implements Router.
func (u *Upstreams) Target(id contract.UpstreamID) (Target, bool) {
	known := u.current().entries[id]
	if known == nil {
		return Target{}, false
	}
	return known.target, true
}

// Serves implements Router.
func (u *Upstreams) Serves(service contract.ServiceID, pin ModelPin) bool {
	snapshot := u.current()
	configured := snapshot.configuredPin(service)
	for _, id := range snapshot.config.Document.Services[service].Upstreams {
		if known := snapshot.entries[id]; known != nil && known.serves(pin, configured) {
			return true
		}
	}
	return false
}

// ContentStatus implements Router.
func (u *Upstreams) ContentStatus(content ContentKey) ContentStatus {
	return u.current().assessments[content].StatusAt(u.config.Now())
}

// Capacity returns this instance's share of the slots of the service's live
// upstreams, rounded up.
func (u *Upstreams) Capacity(service contract.ServiceID) int {
	now, snapshot := u.config.Now(), u.current()
	slots := 0
	for _, id := range snapshot.config.Document.Services[service].Upstreams {
		if known := snapshot.entries[id]; known != nil && known.health.State(now) == StateLive {
			slots += known.slots
		}
	}
	instances := len(sortedMembers(u.config.Instances(), u.config.Self))
	return (slots + instances - 1) / instances
}
