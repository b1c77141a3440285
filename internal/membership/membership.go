package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/failuredomain"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// Default values of Config.
const (
	DefaultInterval         = 500 * time.Millisecond
	DefaultRequestTimeout   = time.Second
	DefaultContactWindow    = 2 * time.Second
	DefaultMemberRetention  = 24 * time.Hour
	DefaultListInterval     = 2 * time.Second
	DefaultAnnounceInterval = 10 * time.Second
)

const (
	publishInterval = 100 * time.Millisecond // minimum age of a view before it is rebuilt
	heartbeatTick   = 100 * time.Millisecond // regular heartbeats are due at multiples of it
	selectInterval  = time.Second            // minimum time between two selections of peers
	pushInterval    = 20 * time.Millisecond  // minimum time between two pushes, or early heartbeats
	withdrawTimeout = time.Second
)

// Transport is the part of the link that the membership uses.
type Transport interface {
	link.Transport
	// SetPeers sets the instances to which connections are kept open.
	SetPeers(ids []contract.InstanceID)
}

// Config holds the dependencies and settings of a Membership. Durations of 0
// take the defaults.
type Config struct {
	Self Member
	// Regions lists the accepted regions. Empty: only the region of this
	// instance.
	Regions []string
	// Seeds are instances from the settings. They may include this one.
	Seeds []Member
	// List is the platform's instance list.
	List      platform.InstanceList
	Transport Transport
	Clock     *timeline.Clock
	Recorder  timeline.Recorder
	Log       logrus.FieldLogger
	// OnPeerHead is called with the head version that a peer reports. It returns
	// whether this instance holds the newest version that it has seen announced;
	// if not, contacts do not count. It must not block. Optional: without it
	// every instance is current.
	OnPeerHead func(peer contract.InstanceID, head int64) (current bool)
	// OnNewerRoster is called with the sequence of a newer roster that a peer
	// holds. It must not block. Optional.
	OnNewerRoster func(peer contract.InstanceID, sequence int64)

	Interval         time.Duration // between heartbeats to a peer
	RequestTimeout   time.Duration // for the response to a heartbeat
	ContactWindow    time.Duration // maximum age of a contact that counts as recent
	MemberRetention  time.Duration // how long a silent instance remains known
	ListInterval     time.Duration // between polls of the instance list
	AnnounceInterval time.Duration // between announcements in the instance list

	// JitterSeed fixes the jitter, for tests. 0: random.
	JitterSeed uint64
}

func (c Config) withDefaults() (Config, error) {
	if c.Self.ID == "" || c.Transport == nil || c.List == nil || c.Clock == nil || c.Recorder == nil || c.Log == nil {
		return c, errors.New("membership needs Self, Transport, List, Clock, Recorder and Log")
	}
	if len(c.Regions) == 0 {
		c.Regions = []string{c.Self.Region}
	}
	for value, fallback := range map[*time.Duration]time.Duration{
		&c.Interval:         DefaultInterval,
		&c.RequestTimeout:   DefaultRequestTimeout,
		&c.ContactWindow:    DefaultContactWindow,
		&c.MemberRetention:  DefaultMemberRetention,
		&c.ListInterval:     DefaultListInterval,
		&c.AnnounceInterval: DefaultAnnounceInterval,
	} {
		if *value <= 0 {
			*value = fallback
		}
	}
	return c, nil
}

// Membership tracks the live instances of the deployment by heartbeats.
type Membership struct {
	config       Config
	log          logrus.FieldLogger
	start        time.Time
	sections     map[uint8]Section
	view         atomic.Pointer[View]
	viewBuiltAt  atomic.Int64 // instant at which the view was built
	viewOutdated atomic.Bool  // the records have changed since the view was built
	counters     counters
	pushDue      chan struct{} // capacity 1: a push is due
	sendDue      chan struct{} // capacity 1: a regular heartbeat is due
	announceDue  chan struct{} // capacity 1: an announcement is due
	inFlight     sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	status     status
	members    *memberTable
	links      map[contract.InstanceID]*peerLink
	peers      []contract.InstanceID
	candidates []failuredomain.Member // for peers, at the last selection
	selectedAt instant
	lastProbed contract.InstanceID // silent instance
	random     *rand.Rand          // for jitter
}

// New returns a membership and registers its heartbeat handler. It must be
// called before the transport runs.
func New(config Config) (*Membership, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Membership{
		config:      config,
		log:         config.Log.WithField("instance", config.Self.ID),
		start:       time.Now(),
		sections:    map[uint8]Section{},
		pushDue:     make(chan struct{}, 1),
		sendDue:     make(chan struct{}, 1),
		announceDue: make(chan struct{}, 1),
		members:     newMemberTable(config.Self.ID, config.MemberRetention, max(1, rand.Uint64()>>1)),
		links:       map[contract.InstanceID]*peerLink{},
		selectedAt:  never,
		random:      rand.New(rand.NewPCG(cmp.Or(config.JitterSeed, rand.Uint64()), xxhash.Sum64String(string(config.Self.ID)))),
	}
	m.status.Current = config.OnPeerHead == nil
	for _, seed := range config.Seeds {
		if r := m.members.add(seed, m.now()); r != nil {
			r.seed = true
		}
	}
	m.buildView()
	config.Transport.Handle(MessageHeartbeat, m.handleHeartbeat)
	return m, nil
}

// now returns the time since the creation of m on the monotonic clock.
func (m *Membership) now() instant { return instant(time.Since(m.start)) }

func (m *Membership) accepts(region string) bool { return slices.Contains(m.config.Regions, region) }

// View returns a view of the current state, at most publishInterval old. It is
// never nil. It is built on demand: a loop that builds it would wake an idle
// process ten times a second.
func (m *Membership) View() *View {
	if !m.mustBuildView() {
		return m.view.Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mustBuildView() {
		m.buildView()
	}
	return m.view.Load()
}

func (m *Membership) mustBuildView() bool {
	return m.viewOutdated.Load() && m.now().since(instant(m.viewBuiltAt.Load())) >= publishInterval
}

// Address returns the link address of an instance.
func (m *Membership) Address(id contract.InstanceID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.members.byID[id]
	if r == nil || r.member.Address == "" {
		return "", false
	}
	return r.member.Address, true
}

// SetState sets the state that heartbeats carry. Draining is final; it is
// announced in the instance list and pushed to the peers immediately.
func (m *Membership) SetState(state State) {
	m.mu.Lock()
	changed := m.status.State != state && m.status.State != Draining
	if changed {
		m.status.State = state
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	m.config.Recorder.Record(timeline.Event{Kind: timeline.InstanceChanged, Detail: "state=" + state.String()})
	m.PushStatus()
	if state == Draining {
		notify(m.announceDue)
	}
}

// ConfigurationStatus is the configuration status that an instance reports to others.
type ConfigurationStatus struct {
	Current     bool  // its contacts prove that it lacks no version
	HeadVersion int64 // newest version that it has verified
	HeldVersion int64 // version in force
}

// SetConfigurationStatus sets the configuration status that heartbeats carry. Versions
// lower than before are ignored.
func (m *Membership) SetConfigurationStatus(s ConfigurationStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status.Current = s.Current
	m.status.HeadVersion = max(m.status.HeadVersion, s.HeadVersion)
	m.status.HeldVersion = max(m.status.HeldVersion, s.HeldVersion)
}

// SetRosterSequence sets the sequence of the roster that this instance holds and
// pushes it to the peers. Contacts under a newer roster do not count. Lower
// sequences than before are ignored.
func (m *Membership) SetRosterSequence(sequence int64) {
	m.mu.Lock()
	m.status.Sequence = max(m.status.Sequence, sequence)
	m.mu.Unlock()
	m.PushStatus()
}

// PushStatus sends a heartbeat without sections to all peers immediately.
func (m *Membership) PushStatus() { notify(m.pushDue) }

// SendNow sends the next regular heartbeat to all peers immediately, for section
// data that must not wait for the interval.
func (m *Membership) SendNow() { notify(m.sendDue) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run polls the instance list and sends heartbeats until ctx ends. Then it
// withdraws this instance from the list.
func (m *Membership) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { m.instanceListLoop(ctx) })
	m.heartbeatLoop(ctx)
	loops.Wait()
	m.inFlight.Wait()
	withdraw, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if err := m.config.List.Deregister(withdraw, string(m.config.Self.ID)); err != nil {
		m.log.WithError(err).Warn("cannot withdraw from the instance list")
	}
	return nil
}

// buildView replaces the view. The caller holds mu, except in New.
func (m *Membership) buildView() {
	now := m.now()
	v := &View{self: m.config.Self, contactWindow: m.config.ContactWindow, members: make([]MemberView, 0, len(m.members.byID))}
	for _, r := range m.members.sortedRecords() {
		v.members = append(v.members, MemberView{
			Member: r.member, State: r.state,
			LastContact: m.wallTime(r.lastContact), LastRoundTrip: m.wallTime(r.lastRoundTrip), KnownUntil: m.wallTime(m.members.knownUntil(r, now)),
			Peer: slices.Contains(m.peers, r.member.ID), HeadVersion: r.headVersion, HeldVersion: r.heldVersion,
			RosterSequence: r.sequence, Listed: r.listed || r.seed,
		})
	}
	m.view.Store(v)
	m.viewBuiltAt.Store(int64(now))
	m.viewOutdated.Store(false)
}

func (m *Membership) wallTime(i instant) time.Time {
	if i == never {
		return time.Time{}
	}
	return m.start.Add(time.Duration(i))
}
