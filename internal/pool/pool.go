// Package pool holds the upstreams of each service and chooses among them.
//
// The package must never choose an upstream that is leaving, and does no I/O.
package pool

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailhub.example/foxtailhub/internal/fleetrate"
)

// Upstream is the entry of an upstream in the platform's list. It is immutable.
type Upstream struct {
	ID            string
	Service       string
	Address       string // IP and port
	FailureDomain string
	Slots         int
	Draining      bool
	StartedAt     int64 // process start time in Unix milliseconds; a restart under the same ID changes it
}

// Member is an upstream with the observations of this instance.
type Member struct {
	Upstream
	*observations
}

// observations is shared by all members of one incarnation of an upstream. Requests
// update it concurrently, so its fields are atomics.
type observations struct {
	active      atomic.Int64                // requests in flight from this instance
	prefills    atomic.Int64                // streams in flight without a first event
	kvCopies    atomic.Int64                // streams with a KV copy here
	failureRate atomic.Pointer[failureRate] // recent share of failed requests; nil: none
	lostAt      atomic.Pointer[time.Time]   // last loss, with monotonic clock reading; nil: none
	lostSignal  atomic.Pointer[chan struct{}]
	identity    atomic.Pointer[Identity]    // of the process at the address; nil: as in the entry
	leaving     atomic.Bool                 // reported by the upstream itself; the list shows it later, or never
	pushback    atomic.Pointer[pushback]    // it refused a request with a Retry-After; nil: not in pushback
	identifying atomic.Bool                 // a request for the identity is in progress
	suspected   atomic.Bool                 // lost or silent, with no successful contact since
	aliveAt     atomic.Pointer[time.Time]   // last response to a health check or load request; nil: never
	nextCheckAt atomic.Pointer[time.Time]   // earliest time of the next check; nil: now
	placedAt    atomic.Pointer[[]time.Time] // the last placements of prompts by this instance; nil: none
	heardAt     atomic.Int64                // last sign of life, in nanoseconds since packageStart; 0: none
	rateLimiter
}

func newMember(u Upstream, fleet *atomic.Pointer[fleetrate.Fleet]) *Member {
	o := &observations{rateLimiter: rateLimiter{upstreamID: u.ID, fleet: fleet}}
	lost := make(chan struct{})
	o.lostSignal.Store(&lost)
	return &Member{Upstream: u, observations: o}
}

// BeginRequest counts a request in flight until the returned function is called.
func (o *observations) BeginRequest() (done func()) { return count(&o.active) }

// BeginPrefill counts a stream without a first event until the returned function is called.
func (o *observations) BeginPrefill() (done func()) { return count(&o.prefills) }

// maxPlacements bounds the placements that are kept of an upstream.
const maxPlacements = 32

// Placed records that this instance has placed a prompt here.
func (o *observations) Placed(now time.Time) {
	for {
		old := o.placedAt.Load()
		next := []time.Time{now}
		if old != nil {
			next = append(slices.Clone((*old)[max(0, len(*old)-maxPlacements+1):]), now)
		}
		if o.placedAt.CompareAndSwap(old, &next) {
			return
		}
	}
}

// PlacedSince returns how many prompts this instance has placed here since a time.
func (o *observations) PlacedSince(t time.Time) (n int) {
	placed := o.placedAt.Load()
	if placed == nil {
		return 0
	}
	for _, at := range *placed {
		if at.After(t) {
			n++
		}
	}
	return n
}

// BeginKVCopy counts a KV copy of a stream until the returned function is called.
func (o *observations) BeginKVCopy() (done func()) { return count(&o.kvCopies) }

func count(counter *atomic.Int64) (done func()) {
	counter.Add(1)
	return func() { counter.Add(-1) }
}

const (
	// errorWindow is the number of requests over which the share of failed requests is
	// averaged: a few requests are enough to detect an upstream that fails often.
	errorWindow = 8
	// errorHalfLife is the half-life of the share without requests. Without this decay,
	// a recovered upstream would not be chosen while others are idle.
	errorHalfLife = 3 * time.Second
	// errorFloor is the share below which an upstream counts as free of errors.
	errorFloor = 0.05
)

// failureRate is the share of failed requests at one moment.
type failureRate struct {
	share float64
	at    time.Time
}

func (f *failureRate) decayed(now time.Time) float64 {
	if f == nil {
		return 0
	}
	share := f.share * math.Exp2(-now.Sub(f.at).Seconds()/errorHalfLife.Seconds())
	if share < errorFloor {
		return 0
	}
	return share
}

// Succeeded records a request with a proper response.
func (o *observations) Succeeded(now time.Time) {
	o.suspected.Store(false)
	o.recordOutcome(now, 0)
}

// Failed records a request that failed although the upstream kept running.
func (o *observations) Failed(now time.Time) { o.recordOutcome(now, 1) }

func (o *observations) recordOutcome(now time.Time, outcome float64) {
	share := o.failureRate.Load().decayed(now)
	o.failureRate.Store(&failureRate{share: share + (outcome-share)/errorWindow, at: now})
}

// MarkLost records the loss of the upstream: its connections were reset or it became
// silent. The channel returned by Lost is closed.
func (o *observations) MarkLost(now time.Time) {
	o.lostAt.Store(&now)
	o.suspected.Store(true)
	next := make(chan struct{})
	close(*o.lostSignal.Swap(&next))
}

// Suspect marks the upstream as suspected: a request has been without a response for
// longer than usual.
func (o *observations) Suspect() { o.suspected.Store(true) }

// MarkAlive records a response to a health check or load request and clears the suspicion.
func (o *observations) MarkAlive(now time.Time) {
	o.Heard(now)
	o.suspected.Store(false)
	o.aliveAt.Store(&now)
}

// packageStart is the origin of times that are kept as numbers.
var packageStart = time.Now()

// Heard records a sign of life of the upstream.
func (o *observations) Heard(now time.Time) { o.heardAt.Store(int64(now.Sub(packageStart))) }

// HeardAt returns the time of the last sign of life, the zero time if there was none.
func (o *observations) HeardAt() time.Time {
	at := o.heardAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return packageStart.Add(time.Duration(at))
}

// MarkLeaving records that the upstream itself reported that it is leaving, and returns
// whether this is its first report. The mark stays until another process has the
// address, even if the list or an older response contradicts it.
func (o *observations) MarkLeaving() bool { return !o.leaving.Swap(true) }

// AliveSince reports whether MarkAlive was called at or after a time.
func (o *observations) AliveSince(t time.Time) bool {
	at := o.aliveAt.Load()
	return at != nil && !at.Before(t)
}

// TryStartCheck reports whether the caller has to check a suspected upstream now. It returns
// true at most once per interval.
func (o *observations) TryStartCheck(now time.Time, interval time.Duration) bool {
	at := o.nextCheckAt.Load()
	if !o.suspected.Load() || at != nil && now.Before(*at) {
		return false
	}
	next := now.Add(interval)
	return o.nextCheckAt.CompareAndSwap(at, &next)
}

// Lost returns a channel that is closed at the next loss of the upstream.
func (o *observations) Lost() <-chan struct{} { return *o.lostSignal.Load() }

// Identity identifies one process of an upstream.
type Identity struct {
	ID        string // empty: unknown
	StartedAt int64  // process start time in Unix milliseconds; 0: unknown
}

// Current returns the upstream with the identity of the process at its address.
func (m *Member) Current() Upstream {
	u := m.Upstream
	if identity := m.identity.Load(); identity != nil {
		u.ID, u.StartedAt = identity.ID, identity.StartedAt
	}
	return u
}

// Replaced reports whether another process, whose ID is not known yet, has the address.
func (m *Member) Replaced() bool { return m.Current().ID == "" }

// MarkReplaced records that another process responds at the address. A restarted upstream
// usually has a new ID, which the list shows later, or not at all while the store is
// down.
func (m *Member) MarkReplaced(startedAt int64) { m.identity.Store(&Identity{StartedAt: startedAt}) }

// ObserveStartTime compares the start time reported by the process at the address with the known
// one, and marks the member as replaced if they differ. It returns whether the process
// is the identified one.
func (m *Member) ObserveStartTime(startedAt int64) bool {
	known := m.Current()
	if startedAt == 0 || known.StartedAt == 0 || startedAt == known.StartedAt {
		return !m.Replaced()
	}
	m.MarkReplaced(startedAt)
	return false
}

// TryStartIdentify reports whether the caller has to request the identity of the
// process at the address; the caller then has to call FinishIdentify.
func (m *Member) TryStartIdentify() bool {
	return m.Replaced() && m.identifying.CompareAndSwap(false, true)
}

// Identity returns the identity of the process at the address.
func (m *Member) Identity() Identity {
	u := m.Current()
	return Identity{ID: u.ID, StartedAt: u.StartedAt}
}

// FinishIdentify ends the request that TryStartIdentify began; an empty ID means
// that it got no response. Observations of the previous process are reset.
func (m *Member) FinishIdentify(identity Identity) {
	if identity.ID != "" {
		m.identity.Store(&identity)
		m.lostAt.Store(nil)
		m.failureRate.Store(nil)
		m.suspected.Store(false)
		m.leaving.Store(false)
		m.pushback.Store(nil)
		m.limit.Store(nil)
	}
	m.identifying.Store(false)
}

// candidate returns the input of Choose as of now.
func (m *Member) candidate(now time.Time) Candidate {
	c := Candidate{
		Upstream:   m.Upstream,
		Leaving:    m.Draining || m.leaving.Load(),
		Active:     int(m.active.Load()),
		Prefilling: int(m.prefills.Load()),
		KVCopies:   int(m.kvCopies.Load()),
		ErrorShare: m.failureRate.Load().decayed(now),
		SinceLoss:  never,
		Replaced:   m.Replaced(),
		Suspected:  m.suspected.Load(),
	}
	if p := m.pushback.Load(); p != nil {
		c.InPushback, c.PushbackRemaining, c.ResumedInPushback = p.blocks(now), p.remaining(now), p.resumed
	}
	c.StatesRate, c.UntilRequest = m.limit.Load() != nil, m.untilRequest(now)
	if at := m.lostAt.Load(); at != nil {
		c.SinceLoss = now.Sub(*at)
	}
	return c
}

// Snapshot is an immutable list of upstreams.
type Snapshot struct {
	byService map[string][]*Member
	byID      map[string]*Member
}

// Pool holds the upstreams.
type Pool struct {
	snapshot    atomic.Pointer[Snapshot]
	confirmedAt atomic.Pointer[time.Time] // when the list was last confirmed
	era         atomic.Int64              // of the store, at that time
	departed    departedProcesses         // used by Replace only
	fleet       atomic.Pointer[fleetrate.Fleet]

	noticesMu   sync.Mutex            // guards rateNotices, and Replace against new notices
	rateNotices map[string]RateNotice // by the ID of the upstream
}

// New returns a pool without upstreams.
func New() *Pool {
	p := &Pool{departed: departedProcesses{}, rateNotices: map[string]RateNotice{}}
	p.snapshot.Store(&Snapshot{})
	p.fleet.Store(fleetrate.Alone(time.Now()))
	return p
}

// SetFleet sets the instances among which the request rates of upstreams are divided.
// Before, this instance counts as the only one.
func (p *Pool) SetFleet(fleet *fleetrate.Fleet) { p.fleet.Store(fleet) }

// Fleet returns the instances among which limits for all instances are divided.
func (p *Pool) Fleet() *fleetrate.Fleet { return p.fleet.Load() }

// Replace sets the list of upstreams. Observations of a process that stays listed are
// kept. It must not be called concurrently.
func (p *Pool) Replace(upstreams []Upstream) {
	p.noticesMu.Lock()
	defer p.noticesMu.Unlock()
	old := p.snapshot.Load()
	next := &Snapshot{byService: map[string][]*Member{}, byID: map[string]*Member{}}
	now := time.Now()
	p.departed.add(now, old, upstreams)
	for _, u := range upstreams {
		m, known := old.byID[u.ID]
		switch {
		case !known || m.StartedAt != u.StartedAt || m.Address != u.Address || m.Service != u.Service:
			m = newMember(u, &p.fleet)
			m.leaving.Store(p.departed.has(now, u))
			if notice, ok := p.rateNotices[u.ID]; ok && notice.StartedAt == u.StartedAt {
				m.ApplyRateNotice(now, notice.PerSecond)
			}
		case m.Upstream != u:
			m = &Member{Upstream: u, observations: m.observations}
		}
		next.byService[u.Service] = append(next.byService[u.Service], m)
		next.byID[u.ID] = m
	}
	p.snapshot.Store(next)
}

// Members returns the upstreams of a service.
func (p *Pool) Members(service string) []*Member { return p.snapshot.Load().byService[service] }

// Find returns the listed upstream with an ID, if its process started at a time.
func (p *Pool) Find(id string, startedAt int64) (*Member, bool) {
	m := p.snapshot.Load().byID[id]
	return m, m != nil && m.Current().StartedAt == startedAt
}

// ListedStart returns the start time of the process that is listed under an ID; 0: unknown.
func (p *Pool) ListedStart(id string) (startedAt int64, listed bool) {
	m := p.snapshot.Load().byID[id]
	if m == nil {
		return 0, false
	}
	return m.StartedAt, true
}

// Serves reports whether the process with an identity is still listed, is not leaving,
// and was not lost since a time.
func (p *Pool) Serves(m *Member, identity Identity, since time.Time) bool {
	current, listed := p.snapshot.Load().byID[m.ID]
	if !listed || current.observations != m.observations || current.Draining || m.leaving.Load() || m.Replaced() {
		return false
	}
	if now := m.Current(); now.ID != identity.ID || identity.StartedAt != 0 && now.StartedAt != identity.StartedAt {
		return false
	}
	at := m.lostAt.Load()
	return at == nil || at.Before(since)
}

// Confirm records that the list matched the store in an era at a time.
func (p *Pool) Confirm(now time.Time, era int64) {
	p.confirmedAt.Store(&now)
	p.era.Store(era)
}

// Era returns the era of the store that the list was last confirmed in.
func (p *Pool) Era() int64 { return p.era.Load() }

// Age returns the time since the list was last confirmed, 0 if it never was.
func (p *Pool) Age(now time.Time) time.Duration {
	at := p.confirmedAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// Size returns the number of upstreams.
func (p *Pool) Size() int { return len(p.snapshot.Load().byID) }
