package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

const (
	pollInterval    = 500 * time.Millisecond
	maxPollInterval = 2 * time.Second // for an upstream that cannot be reached
	pollTimeout     = 750 * time.Millisecond
	// pollTick is the step to which polls are delayed, so that one wake-up starts
	// several.
	pollTick = 50 * time.Millisecond
	// scanInterval is the longest time between two scans of all upstreams.
	// NotifyChanged wakes the poller when the configuration or members change.
	scanInterval = 500 * time.Millisecond
	// pollJitter is the share of an interval by which polls are spread, so that
	// the watchers of an upstream do not poll in phase.
	pollJitter       = 0.1
	listInterval     = time.Second
	listTimeout      = 2 * time.Second
	maintainInterval = 500 * time.Millisecond
)

// poller polls the upstreams that this instance watches, cannot reach or
// suspects.
type poller struct {
	upstreams *Upstreams
	random    *rand.Rand
	schedule  map[contract.UpstreamID]*scheduledPoll
	finished  chan contract.UpstreamID
	config    *configuration.Snapshot // for which the schedule was built
	live      []Member                // from which members was computed
	startedAt time.Time
	nextScan  time.Time // time of the next scan of all upstreams
	members   []Member
	selector  *watcherSelector
}

// scheduledPoll is the poll schedule of an upstream.
type scheduledPoll struct {
	due      time.Time
	interval time.Duration
	running  bool
	watched  bool
	rank     int // among the watchers, if watched
}

// setRanks replaces the ranks of this instance among the watchers.
func (u *Upstreams) setRanks(ranks map[contract.UpstreamID]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writer.ranks = ranks
}

func newPoller(u *Upstreams) *poller {
	return &poller{
		upstreams: u,
		random:    u.random(),
		schedule:  make(map[contract.UpstreamID]*scheduledPoll),
		finished:  make(chan contract.UpstreamID),
		startedAt: u.config.Now(),
	}
}

func (p *poller) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer p.drain()
	p.pollDue(ctx)
	for {
		timer.Reset(p.untilNext())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			p.pollDue(ctx)
		case <-p.upstreams.wakeups:
			p.pollDue(ctx)
		case id := <-p.upstreams.pollRequests:
			p.makeDue(id)
			p.pollOne(ctx, id)
		case id := <-p.finished:
			p.finish(id)
			p.pollOne(ctx, id)
		}
	}
}

// untilNext returns the time until the next scan of all upstreams, aligned to
// pollTick.
func (p *poller) untilNext() time.Duration {
	now := p.upstreams.config.Now().Sub(p.startedAt)
	next := max(p.nextScan.Sub(p.startedAt), now+1) + pollTick - 1
	return next.Truncate(pollTick) - now
}

func (p *poller) makeDue(id contract.UpstreamID) {
	if scheduled := p.schedule[id]; scheduled != nil {
		scheduled.due = p.upstreams.config.Now()
	}
}

// drain waits for the polls that are running.
func (p *poller) drain() {
	for _, scheduled := range p.schedule {
		if scheduled.running {
			<-p.finished
		}
	}
}

func (p *poller) finish(id contract.UpstreamID) {
	scheduled := p.schedule[id]
	if scheduled == nil {
		return
	}
	scheduled.running = false
	known := p.upstreams.current().entries[id]
	if known == nil {
		delete(p.schedule, id)
		return
	}
	scheduled.interval = min(2*scheduled.interval, maxPollInterval)
	if known.health.OwnContact.Up {
		scheduled.interval = pollInterval
	}
}

// pollDue starts the polls that are due.
func (p *poller) pollDue(ctx context.Context) {
	now, snapshot := p.upstreams.config.Now(), p.upstreams.current()
	p.updateWatched(snapshot)
	p.nextScan = now.Add(scanInterval)
	for id, scheduled := range p.schedule {
		p.startIfDue(ctx, scheduled, snapshot.entries[id], now)
	}
}

// pollOne starts the poll of an upstream if it is due. With hundreds of watched
// upstreams, a scan of all of them after each poll would cost more than the
// polls.
func (p *poller) pollOne(ctx context.Context, id contract.UpstreamID) {
	if scheduled := p.schedule[id]; scheduled != nil {
		p.startIfDue(ctx, scheduled, p.upstreams.current().entries[id], p.upstreams.config.Now())
	}
}

func (p *poller) startIfDue(ctx context.Context, scheduled *scheduledPoll, known *entry, now time.Time) {
	if known == nil || !p.shouldPoll(scheduled, known) {
		return
	}
	if !scheduled.running && !now.Before(scheduled.due) {
		scheduled.running = true
		jitter := 1 + pollJitter*(2*p.random.Float64()-1)
		scheduled.due = now.Add(time.Duration(jitter * float64(scheduled.interval)))
		go p.poll(ctx, known, now)
	}
	// If a poll is still running when the next one is due, its end starts the
	// next one.
	if scheduled.due.After(now) && scheduled.due.Before(p.nextScan) {
		p.nextScan = scheduled.due
	}
}

func (p *poller) shouldPoll(scheduled *scheduledPoll, known *entry) bool {
	if known.kind != configuration.KindEngine && p.upstreams.config.Services == nil {
		return false
	}
	health := known.health
	ownDown := !health.OwnContact.Up && !health.OwnContact.At.IsZero()
	return scheduled.watched || ownDown || health.Suspected()
}

// updateWatched applies changes of the members and of the configuration.
func (p *poller) updateWatched(snapshot *Snapshot) {
	changed := p.updateMembers()
	if !changed && p.config == snapshot.config {
		return
	}
	p.config = snapshot.config
	added := false
	for id := range snapshot.entries {
		scheduled, found := p.schedule[id]
		if !found {
			scheduled = &scheduledPoll{interval: pollInterval}
			p.schedule[id] = scheduled
			added = true
		}
		if changed || !found {
			scheduled.rank = slices.Index(p.selector.watchers(id), p.upstreams.config.Self.ID)
			scheduled.watched = scheduled.rank >= 0
		}
	}
	if changed || added {
		p.upstreams.setRanks(p.ranks())
	}
	for id, scheduled := range p.schedule {
		if snapshot.entries[id] == nil && !scheduled.running {
			delete(p.schedule, id)
		}
	}
}

// updateMembers reports whether the members have changed.
func (p *poller) updateMembers() bool {
	live := p.upstreams.config.Instances()
	if p.selector != nil && slices.Equal(live, p.live) {
		return false
	}
	p.live = slices.Clone(live)
	members := sortedMembers(live, p.upstreams.config.Self)
	if p.selector != nil && slices.Equal(members, p.members) {
		return false
	}
	p.members, p.selector = members, newWatcherSelector(members)
	return true
}

func (p *poller) ranks() map[contract.UpstreamID]int {
	ranks := make(map[contract.UpstreamID]int)
	for id, scheduled := range p.schedule {
		if scheduled.watched {
			ranks[id] = scheduled.rank
		}
	}
	return ranks
}

func (p *poller) poll(ctx context.Context, known *entry, sentAt time.Time) {
	defer func() { p.finished <- known.target.ID }()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := p.load(pollCtx, known)
	if ctx.Err() == nil {
		p.upstreams.applyPoll(known.target.ID, sentAt, report, err)
	}
}

func (p *poller) load(ctx context.Context, known *entry) (LoadReport, error) {
	if known.kind == configuration.KindEngine {
		return p.upstreams.config.Engines.Engine(known.target).Load(ctx)
	}
	return p.upstreams.config.Services.Service(known.target).Load(ctx)
}

// readLists reads the platform's list until ctx ends.
func (u *Upstreams) readLists(ctx context.Context) {
	random := u.random()
	failing := false
	for ctx.Err() == nil {
		err := u.readList(ctx)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			u.config.Logger.WithField("instance", u.config.Self.ID).WithError(err).
				Warn("availability of the platform's list has changed")
		}
		jitter := 1 + pollJitter*(2*random.Float64()-1)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(jitter * float64(listInterval))):
		}
	}
}

func (u *Upstreams) readList(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := u.config.List.List(listCtx)
	if err != nil {
		return err
	}
	u.write(func(w *writer, now time.Time) {
		for _, listed := range list.Upstreams {
			w.recordListed(contract.UpstreamID(listed.ID), listed.State, listed.UpdatedAt, now)
		}
	})
	return nil
}

// maintain removes expired state until ctx ends.
func (u *Upstreams) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.write(func(w *writer, now time.Time) { w.maintain(now) })
		}
	}
}
