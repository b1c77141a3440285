package news

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

// urgentTopics are those without fresh news of which an instance must not go on.
var urgentTopics = []discovery.Topic{discovery.Configuration, discovery.Upstreams}

const (
	// followerRetention is how long the last question of an instance that is no longer a
	// member is remembered.
	followerRetention = 5 * time.Second
	// startupWriteMargin is the time in which the last rows of a fleet that starts are written.
	startupWriteMargin = 300 * time.Millisecond
	// sourceCheckInterval is the longest time between two looks at where news should come from.
	sourceCheckInterval = 250 * time.Millisecond
	// linkStartupTimeout is how long an instance that has started waits for its links before it
	// reads the store like one that others follow.
	linkStartupTimeout = time.Second
)

// Transport carries messages between instances.
type Transport interface {
	link.Transport
	// SetPeers names the instances whose connections are kept open when idle.
	SetPeers(ids []contract.InstanceID)
}

// Config is what a Keeper needs.
type Config struct {
	Self    Member
	Links   bool // there will be a transport once the failure domain is large enough
	Members *Members
	Logs    map[discovery.Topic]*discovery.Log
	// Fresh is the time within which each topic must be known anew.
	Fresh map[discovery.Topic]time.Duration
	// Spread is the time over which a fleet that starts for the first time reads and
	// writes its instances: the store takes a few hundred writes a second.
	Spread time.Duration
	Clock  discovery.Clock
	// StoreFails reports whether the last call to the store failed.
	StoreFails func() bool
	Log        logrus.FieldLogger
	Metrics    *Metrics
}

// Keeper decides where an instance gets its news, follows a peer, and answers peers
// that follow this instance.
type Keeper struct {
	Config

	mu        sync.Mutex // guards the fields below
	transport Transport  // nil while there are no links
	source    dataSource
	rescheduled   chan struct{} // closed when the source changes or the store is back
	peerFailures  map[contract.InstanceID]peerFailure
	followers map[contract.InstanceID]time.Duration // last question, by the clock
	directReads  map[discovery.Topic]time.Duration     // last read for itself, by the clock
	probing   bool
	leaving   bool
	firstInstancesRead time.Duration // when the instances are read first, by the clock
	started   time.Duration
}

// NewKeeper returns a keeper that has no transport yet.
func NewKeeper(config Config) *Keeper {
	return &Keeper{
		Config: config, source: dataSource{readStore: !config.Links}, rescheduled: make(chan struct{}),
		peerFailures: map[contract.InstanceID]peerFailure{}, followers: map[contract.InstanceID]time.Duration{},
		directReads: map[discovery.Topic]time.Duration{}, started: config.Clock(),
		firstInstancesRead: config.Clock() + fractionOf(rand.Float64(), config.Spread),
	}
}

// Register makes the keeper answer peers over a transport, before that runs.
func (s *Keeper) Register(transport Transport) { transport.Handle(messageUpdates, s.serveUpdates) }

// Use makes the keeper follow peers over a transport that runs.
func (s *Keeper) Use(transport Transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transport = transport
}

// Leave tells followers, with each answer, that this instance leaves.
func (s *Keeper) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Run follows peers until ctx ends.
func (s *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ranked := s.Members.Domain()
		source := s.updateSource(ranked)
		s.probePreferred(ctx, ranked, source)
		if source.peer == "" {
			sleep(ctx, sourceCheckInterval)
			continue
		}
		if err := s.pollPeer(ctx, source.peer, s.pollHold()); err != nil && ctx.Err() == nil {
			s.Log.WithError(err).WithField("peer", source.peer).Info("peer gives no fresh news")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// StoreChanged tells the keeper that calls to the store have begun to fail, or are
// answered again. What is old is read at once then: the pauses between tries were for a
// store that does not answer.
func (s *Keeper) StoreChanged(failing bool) {
	if failing {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.directReads)
	s.rescheduleReads()
}

// rescheduleReads lets those who wait for the time of a read look again. The caller holds mu.
func (s *Keeper) rescheduleReads() {
	close(s.rescheduled)
	s.rescheduled = make(chan struct{})
}

// updateSource decides on the source, and tells others if it has changed.
func (s *Keeper) updateSource(ranked []Member) dataSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.selectSource(ranked)
	if next == s.source {
		return next
	}
	age, _ := s.Logs[discovery.Upstreams].Age()
	s.Log.WithFields(logrus.Fields{
		"from": s.source.String(), "to": next.String(), "domain_members": len(ranked), "troubled_peers": len(s.peerFailures),
		"store_fails": s.StoreFails(), "list_age_ms": age.Milliseconds(),
	}).Info("source of news changed")
	s.source = next
	if next.peer != "" {
		s.transport.SetPeers([]contract.InstanceID{next.peer})
	}
	s.rescheduleReads()
	s.Metrics.setSource(next)
	return next
}

// selectSource returns the source that the present knowledge asks for. The caller holds mu.
func (s *Keeper) selectSource(ranked []Member) dataSource {
	if s.transport == nil {
		starting := s.Clock() < s.started+s.Spread+linkStartupTimeout
		tooFewMembers := s.Members.Complete() && len(ranked) < minDomainSize
		return dataSource{readStore: !s.Links || tooFewMembers || !starting}
	}
	healthByPeer := make(map[contract.InstanceID]peerHealth, len(s.peerFailures))
	for id, failure := range s.peerFailures {
		healthByPeer[id] = failure.health
	}
	return chooseSource(s.Self.ID, ranked, healthByPeer, s.StoreFails())
}

// String returns the name used in logs.
func (c dataSource) String() string {
	switch {
	case c.readStore:
		return "store"
	case c.peer != "":
		return string(c.peer)
	}
	return "none"
}

// pollHold returns how long a question to a peer is held.
func (s *Keeper) pollHold() time.Duration {
	return fractionOf(pollHoldShare, min(s.Fresh[discovery.Upstreams], s.Fresh[discovery.Configuration]))
}

// pollPeer asks a peer what is new.
func (s *Keeper) pollPeer(ctx context.Context, peer contract.InstanceID, hold time.Duration) error {
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
		return errors.Newf("news of %s is old", peer)
	}
	for i, topic := range topics {
		if wire := response.Topics[i]; wire.Known {
			at := requestedAt + milliseconds(response.HeldMS) - milliseconds(wire.AgeMS)
			update, to := fromWire(wire, at)
			s.Logs[topic].Follow(update, from[i], to)
		}
	}
	switch {
	case response.Leaving:
		s.setPeerHealth(peer, unresponsive)
		return errors.Newf("%s leaves", peer)
	case !s.isFresh(response, requestedAt):
		s.setPeerHealth(peer, stale)
		return errors.Newf("news of %s is old", peer)
	}
	s.setPeerHealth(peer, healthy)
	return nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// requestUpdates sends a question and returns the answer with the positions from which it goes on.
func (s *Keeper) requestUpdates(ctx context.Context, transport Transport, peer contract.InstanceID, hold time.Duration) (updateResponse, []discovery.Position, error) {
	request := updateRequest{HoldMS: hold.Milliseconds()}
	var from []discovery.Position
	for _, topic := range topics {
		position := s.Logs[topic].Position()
		version, _ := s.Logs[topic].Version()
		from = append(from, position)
		request.Positions = append(request.Positions, wirePosition{Log: position.Log, Sequence: position.Sequence, Version: version})
	}
	body, err := link.Encode(request)
	if err != nil {
		return updateResponse{}, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, hold+responseTimeout)
	defer cancel()
	reply, err := transport.Request(ctx, peer, messageUpdates, body)
	if err != nil {
		s.Metrics.countRequest("failed")
		return updateResponse{}, nil, err
	}
	response, err := decodeResponse(reply)
	if err != nil {
		s.Metrics.countRequest("unreadable")
		return updateResponse{}, nil, err
	}
	s.Metrics.countRequest("answered")
	return response, from, nil
}

// isFresh reports whether an answer is isFresh enough to follow the peer: it knows the
// configuration and the upstreams as of a short time ago.
func (s *Keeper) isFresh(response updateResponse, requestedAt time.Duration) bool {
	sinceSent := s.Clock() - requestedAt - milliseconds(response.HeldMS)
	for i, topic := range topics {
		if !slices.Contains(urgentTopics, topic) {
			continue
		}
		wire := response.Topics[i]
		if !wire.Known || milliseconds(wire.AgeMS)+sinceSent > fractionOf(peerStaleShare, s.Fresh[topic]) {
			return false
		}
	}
	return true
}

// setPeerHealth updates what is believed of a peer.
func (s *Keeper) setPeerHealth(peer contract.InstanceID, health peerHealth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if health == healthy {
		delete(s.peerFailures, peer)
		return
	}
	s.peerFailures[peer] = s.peerFailures[peer].nextFailure(health, s.Clock())
}

// probePreferred asks one troubled peer that would be a better source than the present one
// whether it is sound again. The present source is used meanwhile.
func (s *Keeper) probePreferred(ctx context.Context, ranked []Member, source dataSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropFormerMembers(ranked)
	if s.probing || s.transport == nil {
		return
	}
	for _, m := range ranked {
		if m.ID == source.peer || m.ID == s.Self.ID && source.readStore {
			return // the others are no better
		}
		if failure, failed := s.peerFailures[m.ID]; failed && s.Clock() >= failure.retryAt {
			s.probing = true
			go func() {
				err := s.pollPeer(ctx, m.ID, 0)
				s.mu.Lock()
				s.probing = false
				s.mu.Unlock()
				if err == nil {
					s.Log.WithField("peer", m.ID).Info("peer gives fresh news again")
				}
			}()
			return
		}
	}
}

// dropFormerMembers drops what is believed of instances that are no longer members.
func (s *Keeper) dropFormerMembers(ranked []Member) {
	isMember := make(map[contract.InstanceID]bool, len(ranked))
	for _, m := range ranked {
		isMember[m.ID] = true
	}
	maps.DeleteFunc(s.peerFailures, func(id contract.InstanceID, _ peerFailure) bool { return !isMember[id] })
	maps.DeleteFunc(s.followers, func(id contract.InstanceID, at time.Duration) bool {
		return !isMember[id] && s.Clock()-at > followerRetention
	})
}

// Rhythm returns how a topic is read from the store: one that reads for others reads
// more often, so that their news is fresh after one step more.
func (s *Keeper) Rhythm(topic discovery.Topic, standalone discovery.Rhythm) discovery.Rhythm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollSchedule(topic, standalone)
}

// pollSchedule is Rhythm for a caller that holds mu.
func (s *Keeper) pollSchedule(topic discovery.Topic, schedule discovery.Rhythm) discovery.Rhythm {
	switch maxInterval := fractionOf(readIntervalShare, s.Fresh[topic]); {
	case !s.source.readStore:
		schedule.Wait = 0 // what has changed meanwhile is wanted, and not what will
	case s.transport != nil:
		schedule.Wait, schedule.Pause = min(schedule.Wait, maxInterval), min(schedule.Pause, maxInterval)
	}
	if remaining := s.started + s.Spread + startupWriteMargin - s.Clock(); topic == discovery.Instances && remaining > 0 {
		// Instances that start later are read soon after the end of the spread, and
		// sooner where there are too few for links.
		schedule.Pause = min(schedule.Pause, remaining)
		if s.transport == nil {
			schedule.Pause = min(schedule.Pause, startupWriteMargin)
		}
	}
	return schedule
}

// Await waits until a topic has to be read from the store. last is when it was last
// read, zero before the first time.
func (s *Keeper) Await(ctx context.Context, topic discovery.Topic, standalone discovery.Rhythm, lastRead time.Time) {
	jitter := rand.Float64()
	for {
		s.mu.Lock()
		rescheduled := s.rescheduled
		var wait time.Duration
		if age, known := s.Logs[topic].Age(); !known || !s.source.readStore {
			wait = s.untilDirectRead(topic, age, known, jitter)
		} else if !lastRead.IsZero() {
			wait = time.Until(lastRead.Add(s.pollSchedule(topic, standalone).Pause))
		}
		if wait <= 0 {
			s.directReads[topic] = s.Clock()
		}
		s.mu.Unlock()
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-rescheduled:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// untilDirectRead returns the time until an instance that does not read for others has
// to read a topic for itself. The caller holds mu.
func (s *Keeper) untilDirectRead(topic discovery.Topic, age time.Duration, known bool, jitter float64) time.Duration {
	switch {
	case !known && topic == discovery.Instances:
		return s.firstInstancesRead - s.Clock()
	case !known && topic == discovery.Crashes && s.Links && !(s.source.readStore && s.transport != nil):
		return s.started + s.Spread + linkStartupTimeout - s.Clock()
	case !known:
		return 0
	}
	maxAge := s.Fresh[topic]
	wait := fractionOf(directReadShare+directReadJitterShare*jitter, maxAge) - age
	lastRead, hasRead := s.directReads[topic]
	if s.StoreFails() {
		// One topic shows as well as another whether the store is back.
		for _, at := range s.directReads {
			lastRead, hasRead = max(lastRead, at), true
		}
	}
	if hasRead {
		wait = max(wait, fractionOf(directReadBackoffShare, maxAge)-(s.Clock()-lastRead))
	}
	return wait
}
