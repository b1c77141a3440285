package instance

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/dispatch"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/timeline"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

// liveWindow is the maximum age of the last contact at which another instance
// counts as live and gets work, such as watching an upstream.
const liveWindow = 3 * time.Second

// New builds an instance from validated settings and its dependencies. It sends
// nothing until Run.
func New(s *settings.Settings, dependencies Dependencies, log logrus.FieldLogger) (*Instance, error) {
	i := &Instance{
		settings:  s,
		log:       log.WithField("instance", s.Instance),
		clock:     timeline.NewClock(),
		holder:    configuration.NewHolder(),
		activity:  &activity{},
		metrics:   newMetrics(),
		transport: dependencies.Transport,
		listener:  dependencies.Listener,
	}
	i.events = timeline.NewLog(s.Instance, i.clock, s.TimelineCapacity)
	record := recorder{next: i.events, metrics: i.metrics, log: i.log}
	dependencies.List = &cachedList{InstanceList: dependencies.List, maxAge: milliseconds(s.ListIntervalMS) / 2}
	if err := i.buildMembership(dependencies.List, record); err != nil {
		return nil, err
	}
	acceptor := i.buildConfiguration(dependencies.Table, record)
	i.buildUpstreams(dependencies, record)
	i.buildRequestHandling(dependencies, record)
	i.handler = &handler{
		log: i.log, source: i.holder, holder: i.holder, store: configuration.NewStore(dependencies.Table), acceptor: acceptor,
		registry: i.registry, dispatcher: i.dispatcher, upstreams: i.upstreams, membership: i.membership,
		events: i.events, collector: i.collector, activity: i.activity, metrics: i.metrics, lifecycle: i.lifecycle,
	}
	i.registerMetrics()
	return i, nil
}

// buildMembership builds the membership and the timeline collector.
func (i *Instance) buildMembership(list platform.InstanceList, record timeline.Recorder) error {
	s := i.settings
	members, err := membership.New(membership.Config{
		Self: membership.Member{
			ID: s.Instance, Address: s.AdvertiseLinkAddress, Domain: s.FailureDomain, Region: s.Region,
		},
		Regions:   s.Regions,
		Seeds:     seeds(s),
		List:      list,
		Transport: i.transport,
		Clock:     i.clock,
		Recorder:  record,
		Log:       i.log,
		OnPeerHead: func(peer contract.InstanceID, head int64) bool {
			return i.follower.ObservePeerVersion(configuration.Version(head), peer)
		},
		OnNewerRoster: func(peer contract.InstanceID, sequence int64) { i.rosterManager.ObservePeerSequence(peer, sequence) },
		Interval:      milliseconds(s.HeartbeatIntervalMS),
		ListInterval:  milliseconds(s.ListIntervalMS),
	})
	if err != nil {
		return err
	}
	i.membership = members
	i.collector = timeline.NewCollector(i.events, i.transport)
	return nil
}

func seeds(s *settings.Settings) []membership.Member {
	members := make([]membership.Member, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		members = append(members, membership.Member{
			ID: seed.ID, Address: seed.LinkAddress, Domain: seed.FailureDomain, Region: s.Region,
		})
	}
	return members
}

// buildConfiguration builds the components that follow and accept the configuration.
func (i *Instance) buildConfiguration(table platform.TableService, record timeline.Recorder) *configuration.Acceptor {
	store := configuration.NewStore(table)
	dist := &distributor{holder: i.holder, transport: i.transport, membership: i.membership, self: i.settings.Instance}
	i.transport.Handle(messageFetchConfiguration, dist.handleFetchConfiguration)
	i.transport.Handle(messageFetchRoster, dist.handleFetchRoster)
	i.follower = configuration.NewFollower(configuration.FollowerConfig{
		Store:           store,
		Holder:          i.holder,
		Fetch:           dist.fetchConfiguration,
		PollInterval:    milliseconds(i.settings.ConfigIntervalMS),
		OnTableWentBack: func() { i.dispatcher.TableWentBack("configuration") },
		Recorder:        record,
		Log:             i.log,
	})
	i.lifecycle = newLifecycle(i.settings.Instance, i.log, i.follower, i.membership)
	i.buildRoster(table, store, dist)
	dist.updateConfirmation = func() { i.lifecycle.update(time.Now()) }
	i.holder.Subscribe(func(*configuration.Snapshot) { i.membership.PushStatus() })
	return configuration.NewAcceptor(configuration.AcceptorConfig{
		Store:         store,
		Holder:        i.holder,
		CheckMajority: i.lifecycle.mayAccept,
		Publish:       dist.publish,
		Recorder:      record,
		Log:           i.log,
	})
}

// buildRoster builds the manager of the roster of voting members.
func (i *Instance) buildRoster(table platform.TableService, store *configuration.Store, dist *distributor) {
	i.rosterManager = roster.NewManager(roster.Config{
		Self:  i.settings.Instance,
		Table: table,
		Head: func(ctx context.Context) (int64, platform.Condition, error) {
			version, unchanged, err := store.HeadWithCondition(ctx)
			return int64(version), unchanged, err
		},
		Fetch:           dist.fetchRoster,
		Observe:         i.lifecycle.observeRoster,
		OnAdopt:         i.membership.SetRosterSequence,
		OnTableWentBack: func() { i.dispatcher.TableWentBack("roster") },
		Log:             i.log,
		RemovalDelay:    milliseconds(i.settings.DepartureHoldMS),
	})
	i.lifecycle.rosterManager = i.rosterManager
	dist.rosterManager = i.rosterManager
}

// buildUpstreams builds the component that tracks the upstreams.
func (i *Instance) buildUpstreams(dependencies Dependencies, record timeline.Recorder) {
	i.upstreams = upstream.New(upstream.Config{
		Self:           upstream.Member{ID: i.settings.Instance, FailureDomain: i.settings.FailureDomain},
		Configuration:  i.holder,
		List:           dependencies.List,
		Engines:        dependencies.Engines,
		Services:       dependencies.Services,
		Recorder:       record,
		Instances:      i.liveInstances,
		Logger:         i.log,
		Seed:           uint64(time.Now().UnixNano()),
		OnUrgentUpdate: i.membership.SendNow,
	})
	i.holder.Subscribe(func(*configuration.Snapshot) { i.upstreams.NotifyChanged() })
	i.lifecycle.afterUpdate = i.liveInstancesWatcher()
	i.upstreamDigests = newUpstreamSection(i.upstreams)
	i.membership.RegisterSection(i.upstreamDigests.section())
}

// liveSet is the cached result of liveInstances for one membership view. It is
// valid until the oldest of the counted contacts exceeds liveWindow.
type liveSet struct {
	view       *membership.View
	validUntil time.Time
	members    []upstream.Member
}

// liveInstances returns this instance and those with a recent contact that are not
// draining. The slice must not be changed. It is cached per view: the poller calls
// it 20 times a second, admission twice a second for each workspace.
func (i *Instance) liveInstances() []upstream.Member {
	now, view := time.Now(), i.membership.View()
	if last := i.live.Load(); last != nil && last.view == view && !now.After(last.validUntil) {
		return last.members
	}
	live := i.computeLive(view, now)
	i.live.Store(live)
	return live.members
}

// liveInstancesWatcher returns a function that wakes the poller when the live
// instances have changed. It runs in the loop of the confirmation rule, because a
// separate loop would wake an idle process more often.
func (i *Instance) liveInstancesWatcher() func() {
	var last []upstream.Member
	return func() {
		if live := i.liveInstances(); !slices.Equal(live, last) {
			last = live
			i.upstreams.NotifyChanged()
		}
	}
}

func (i *Instance) computeLive(view *membership.View, now time.Time) *liveSet {
	self := upstream.Member{ID: i.settings.Instance, FailureDomain: i.settings.FailureDomain}
	live := &liveSet{view: view, validUntil: now.Add(liveWindow), members: []upstream.Member{self}}
	members := view.Members()
	for k := range members {
		m := &members[k]
		end := later(m.LastContact, m.LastRoundTrip).Add(liveWindow)
		if m.State == membership.Draining || now.After(end) {
			continue
		}
		live.members = append(live.members, upstream.Member{ID: m.ID, FailureDomain: m.Domain})
		if end.Before(live.validUntil) {
			live.validUntil = end
		}
	}
	return live
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// buildRequestHandling builds admission, the dispatcher of calls and the generation registry.
func (i *Instance) buildRequestHandling(dependencies Dependencies, record timeline.Recorder) {
	i.admission = workspace.NewAdmission(workspace.Config{
		Instance:           i.settings.Instance,
		Configuration:      i.holder,
		Capacity:           i.upstreams.Capacity,
		NewRequestCapacity: i.upstreams.CapacityForNewGenerations,
		InstanceCount:      func() int { return len(i.liveInstances()) },
	})
	demand := newDemandSection(i.admission)
	i.upstreamDigests.onRestart = demand.resetPeer
	i.membership.RegisterSection(demand.section())
	i.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Configuration:   i.holder,
		Router:          i.upstreams,
		Services:        dependencies.Services,
		Table:           dependencies.Table,
		Admitter:        i.admission,
		Timeline:        record,
		Log:             i.log,
		Retention:       milliseconds(i.settings.RecordRetentionMS),
		InstanceCount:   func() int { return len(i.liveInstances()) },
		OnTableWentBack: i.metrics.countTableWentBack,
		StartsEnd:       i.lifecycle.grace.starts,
		WaitsEnd:        i.lifecycle.grace.waits,
	})
	i.registry = generation.NewRegistry(generation.Config{
		Instance:  i.settings.Instance,
		Router:    i.upstreams,
		Dialer:    dependencies.Engines,
		Recorder:  record,
		Admitter:  i.admission,
		Transport: i.transport,
		StartsEnd: i.lifecycle.grace.starts,
		Peers:     func() []contract.InstanceID { return i.membership.View().Peers() },
	})
}
