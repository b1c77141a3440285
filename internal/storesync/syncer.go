package storesync

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// urgentTopics are the topics whose stale rows an instance must not keep using.
var urgentTopics = []discovery.Topic{discovery.Configuration, discovery.Upstreams}

const (
	// followerRetention is how long the time of the last request of a former member is kept.
	followerRetention = 5 * time.Second
	// startupWriteMargin is the time in which the last rows of a starting fleet are written.
	startupWriteMargin = 300 * time.Millisecond
	// sourceCheckInterval is the time between two selections of the source while no peer is followed.
	sourceCheckInterval = 250 * time.Millisecond
	// linkStartupTimeout is how long a started instance waits for its links before it takes
	// the store as its source.
	linkStartupTimeout = time.Second
	// briefFailure is how long calls to the store may fail without counting as an outage: those of one
	// topic may fail while the others succeed.
	briefFailure = time.Second
)

// Transport carries messages between instances.
type Transport interface {
	link.Transport
	// SetPeers names the instances whose connections are kept open when idle.
	SetPeers(ids []contract.InstanceID)
}

// Config holds the settings and dependencies of a Syncer.
type Config struct {
	Self         Member
	LinksEnabled bool // there will be a transport once the failure domain is large enough
	Members      *Members
	Logs         map[discovery.Topic]*discovery.ChangeLog
	// MaxAge is the maximum age of the rows of each topic.
	MaxAge map[discovery.Topic]time.Duration
	// StartupSpread is the time over which the instances of a fleet that starts for the first
	// time read the topic Instances and register: the store takes a few hundred writes a
	// second.
	StartupSpread time.Duration
	Clock         discovery.Clock
	// StoreFailing reports whether the last call to the store failed.
	StoreFailing func() bool
	// Eras has the newest era that the store has shown to this instance; nil: none.
	Eras    *discovery.EraTracker
	Log     logrus.FieldLogger
	Metrics *Metrics
}

// Syncer selects the source of an instance's updates, polls the peer that it follows, and
// serves the peers that follow this instance.
type Syncer struct {
	Config

	mu                 sync.Mutex // guards the fields below
	transport          Transport  // nil while there are no links
	source             dataSource
	rescheduled        chan struct{} // closed when the source changes or the store recovers
	peerFailures       map[contract.InstanceID]peerFailure
	followers          map[contract.InstanceID]time.Duration // time of the last request, by the clock
	directReads        map[discovery.Topic]time.Duration     // time of the last direct read, by the clock
	probing            bool
	leaving            bool
	firstInstancesRead time.Duration // time of the first read of Instances, by the clock
	startedAt          time.Duration
	configuration      configurationRequests // used by Run only
	failingSince       time.Duration         // when calls to the store last began to fail, by the clock
	recoveredAt        time.Duration         // when the last outage ended, later by the brief failures since
	catchUp            catchUp
	staleBefore        int // number of stale peers that rank before this instance
}

// NewSyncer returns a syncer without a transport.
func NewSyncer(config Config) *Syncer {
	if config.Eras == nil {
		config.Eras = discovery.NewEraTracker()
	}
	return &Syncer{
		Config: config, source: dataSource{readStore: !config.LinksEnabled}, rescheduled: make(chan struct{}),
		peerFailures: map[contract.InstanceID]peerFailure{}, followers: map[contract.InstanceID]time.Duration{},
		directReads: map[discovery.Topic]time.Duration{}, startedAt: config.Clock(), recoveredAt: config.Clock(),
		firstInstancesRead: config.Clock() + fractionOf(rand.Float64(), config.StartupSpread),
	}
}

// Register adds the handler of followers' requests to a transport. It must be called
// before the transport runs.
func (s *Syncer) Register(transport Transport) { transport.Handle(messageUpdates, s.serveUpdates) }

// SetTransport sets the running transport over which peers are followed; nil: none.
func (s *Syncer) SetTransport(transport Transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transport = transport
}

// SetLeaving marks this instance as leaving in each response to followers.
func (s *Syncer) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Run follows peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ranked := s.Members.DomainMembers()
		source := s.updateSource(ranked)
		s.probePreferred(ctx, ranked, source)
		if source.peer == "" {
			s.requestConfiguration(ctx, ranked, source)
			s.awaitSourceCheck(ctx)
			continue
		}
		if err := s.pollPeer(ctx, source.peer, s.pollHold()); err != nil && ctx.Err() == nil {
			s.Log.WithError(err).WithField("peer", source.peer).Info("update from peer failed")
		}
	}
}

// StoreStateChanged notifies the syncer that calls to the store have begun to fail, or succeed
// again. On recovery old topics are read immediately: the backoff applies only while the
// store fails.
func (s *Syncer) StoreStateChanged(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if failing {
		s.failingSince = now
		return
	}
	if failed := now - s.failingSince; failed < briefFailure {
		s.recoveredAt += failed
	} else {
		s.recoveredAt = now
	}
	clear(s.directReads)
	s.rescheduleReads()
}

// storeReachableFor returns how long calls to the store have succeeded since the last outage; 0 while
// they fail.
func (s *Syncer) storeReachableFor() time.Duration {
	if s.StoreFailing() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock() - s.recoveredAt
}

// rescheduleReads makes all calls of AwaitRead compute the time of their read anew. The caller
// holds mu.
func (s *Syncer) rescheduleReads() {
	close(s.rescheduled)
	s.rescheduled = make(chan struct{})
}

// updateSource selects the source and, if it has changed, reschedules the reads.
func (s *Syncer) updateSource(ranked []Member) dataSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.selectSource(ranked)
	s.staleBefore = s.countStaleBefore(ranked)
	if next == s.source {
		return next
	}
	age, _ := s.Logs[discovery.Upstreams].Age()
	listed, _ := s.Logs[discovery.Upstreams].Revision()
	s.Log.WithFields(logrus.Fields{
		"from": s.source.String(), "to": next.String(), "domain_members": len(ranked), "troubled_peers": len(s.peerFailures),
		"store_fails": s.StoreFailing(), "list_age_ms": age.Milliseconds(), "list_era": listed.Era, "list_version": listed.Version,
	}).Info("source of news changed")
	s.source = next
	if next.peer != "" {
		s.transport.SetPeers([]contract.InstanceID{next.peer})
	}
	s.rescheduleReads()
	s.Metrics.setSource(next)
	return next
}

// selectSource returns the source by the present members, peer failures and state of the
// store. The caller holds mu.
func (s *Syncer) selectSource(ranked []Member) dataSource {
	if s.transport == nil {
		starting := s.Clock() < s.startedAt+s.StartupSpread+linkStartupTimeout
		tooFewMembers := s.Members.Registered() && len(ranked) < minDomainSize
		return dataSource{readStore: !s.LinksEnabled || tooFewMembers || !starting}
	}
	healthByPeer := make(map[contract.InstanceID]peerHealth, len(s.peerFailures))
	for id, failure := range s.peerFailures {
		healthByPeer[id] = failure.health
	}
	return chooseSource(s.Self.ID, ranked, healthByPeer, s.StoreFailing())
}

// String returns the name used in logs.
func (d dataSource) String() string {
	switch {
	case d.readStore:
		return "store"
	case d.peer != "":
		return string(d.peer)
	}
	return "none"
}

// urgentMaxAge returns the maximum age of the rows of all urgent topics.
func (s *Syncer) urgentMaxAge() time.Duration {
	return min(s.MaxAge[discovery.Upstreams], s.MaxAge[discovery.Configuration])
}

// pollHold returns how long a peer may hold a request.
func (s *Syncer) pollHold() time.Duration { return fractionOf(pollHoldShare, s.urgentMaxAge()) }

// pollPeer requests the updates of a peer, applies them, and updates the peer's health.
func (s *Syncer) pollPeer(ctx context.Context, peer contract.InstanceID, hold time.Duration) error {
	s.mu.Lock()
	transport := s.transport
	s.mu.Unlock()
	requestedAt := s.Clock()
	response, from, err := s.requestUpdates(ctx, transport, peer, hold)
	if err != nil {
		if ctx.Err() == nil {
			s.setPeerHealth(peer, unresponsive)
		}
		return err
	}
	if response.Stale {
		s.setPeerHealth(peer, stale)
		return errors.Newf("rows of peer %s are stale", peer)
	}
	isEarlierEra := s.applyUpdates(response, from, requestedAt)
	switch {
	case response.Leaving:
		s.setPeerHealth(peer, unresponsive)
		return errors.Newf("peer %s is leaving", peer)
	case isEarlierEra || !s.isFresh(response, requestedAt):
		s.setPeerHealth(peer, stale)
		return errors.Newf("rows of peer %s are stale", peer)
	}
	s.setPeerHealth(peer, healthy)
	return nil
}

// applyUpdates applies the updates of a peer's response, and reports whether an urgent topic is of
// an earlier era than the rows of this instance.
func (s *Syncer) applyUpdates(response updateResponse, from []discovery.Position, requestedAt time.Duration) (isEarlierEra bool) {
	for i, topic := range topics {
		wire := response.Topics[i]
		if !wire.Loaded {
			continue
		}
		at := requestedAt + milliseconds(response.HeldMS) - milliseconds(wire.AgeMS)
		reason := discovery.DroppedEarlierEra
		if era, valid := s.peerEra(eraOf(response.Eras, i), topic); valid {
			update, to := fromWire(wire, era, at)
			reason = s.Logs[topic].ApplyFrom(update, from[i], to)
		}
		s.Metrics.countDropped(reason)
		isEarlierEra = isEarlierEra || reason == discovery.DroppedEarlierEra && slices.Contains(urgentTopics, topic)
	}
	return isEarlierEra
}

// peerEra returns the era of a peer's rows. Rows without one are of a build that orders them by
// their versions only, which is valid while the store has not come back from a copy.
func (s *Syncer) peerEra(stated discovery.Era, topic discovery.Topic) (era discovery.Era, valid bool) {
	if stated > 0 {
		return stated, true
	}
	newest, _ := s.Eras.Newest()
	held, _ := s.Logs[topic].Revision()
	known := max(newest, held.Era)
	return min(known, discovery.FirstEra), known <= discovery.FirstEra
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// requestUpdates sends a request and returns the response with the positions from which
// its updates continue.
func (s *Syncer) requestUpdates(ctx context.Context, transport Transport, peer contract.InstanceID, hold time.Duration) (updateResponse, []discovery.Position, error) {
	request := updateRequest{HoldMS: hold.Milliseconds()}
	var from []discovery.Position
	for _, topic := range topics {
		position := s.Logs[topic].Position()
		held, _ := s.Logs[topic].Revision()
		from = append(from, position)
		request.Eras = append(request.Eras, int64(held.Era))
		request.Positions = append(request.Positions, wirePosition{Log: position.LogID, Sequence: position.Sequence, Version: held.Version})
	}
	response, err := s.send(ctx, transport, peer, request)
	return response, from, err
}

// send sends a request and returns the response.
func (s *Syncer) send(ctx context.Context, transport Transport, peer contract.InstanceID, request updateRequest) (updateResponse, error) {
	body, err := link.Encode(request)
	if err != nil {
		return updateResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(request.HoldMS)+responseTimeout)
	defer cancel()
	encoded, err := transport.Request(ctx, peer, messageUpdates, body)
	if err != nil {
		s.Metrics.countRequest("failed")
		return updateResponse{}, err
	}
	response, err := decodeResponse(encoded)
	if err != nil {
		s.Metrics.countRequest("unreadable")
		return updateResponse{}, err
	}
	s.Metrics.countRequest("answered")
	return response, nil
}

// isFresh reports whether a response is recent enough to follow the peer: the ages of its
// urgent topics are within peerStaleShare.
func (s *Syncer) isFresh(response updateResponse, requestedAt time.Duration) bool {
	sinceSent := s.Clock() - requestedAt - milliseconds(response.HeldMS)
	for i, topic := range topics {
		if !slices.Contains(urgentTopics, topic) {
			continue
		}
		wire := response.Topics[i]
		if !wire.Loaded || milliseconds(wire.AgeMS)+sinceSent > fractionOf(peerStaleShare, s.MaxAge[topic]) {
			return false
		}
	}
	return true
}

// readsInstances reports whether the rows of the topic Instances are up to date.
func (s *Syncer) readsInstances() bool {
	age, loaded := s.Logs[discovery.Instances].Age()
	return loaded && age <= s.MaxAge[discovery.Instances] && !s.StoreFailing()
}

// setPeerHealth records the health of a peer, and its backoff if it is not healthy.
func (s *Syncer) setPeerHealth(peer contract.InstanceID, health peerHealth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if health == healthy {
		delete(s.peerFailures, peer)
		return
	}
	s.peerFailures[peer] = s.peerFailures[peer].nextFailure(health, s.Clock())
}

// probePreferred polls one failed peer that ranks before the present source, to find out
// whether it is healthy again. The present source stays in use meanwhile.
func (s *Syncer) probePreferred(ctx context.Context, ranked []Member, source dataSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropFormerMembers(ranked)
	if s.probing || s.transport == nil {
		return
	}
	for _, m := range ranked {
		if m.ID == source.peer || m.ID == s.Self.ID && source.readStore {
			return // the remaining members rank lower
		}
		if failure, failed := s.peerFailures[m.ID]; failed && s.Clock() >= s.retryTime(failure) {
			s.probing = true
			go func() {
				err := s.pollPeer(ctx, m.ID, 0)
				s.mu.Lock()
				s.probing = false
				s.mu.Unlock()
				if err == nil {
					s.Log.WithField("peer", m.ID).Info("peer is healthy again")
				}
			}()
			return
		}
	}
}

// dropFormerMembers deletes the state of instances that are no longer members.
func (s *Syncer) dropFormerMembers(ranked []Member) {
	isMember := make(map[contract.InstanceID]bool, len(ranked))
	for _, m := range ranked {
		isMember[m.ID] = true
	}
	maps.DeleteFunc(s.peerFailures, func(id contract.InstanceID, _ peerFailure) bool { return !isMember[id] })
	maps.DeleteFunc(s.followers, func(id contract.InstanceID, at time.Duration) bool {
		return !isMember[id] && s.Clock()-at > followerRetention
	})
}
