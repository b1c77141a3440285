package configuration

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// Defaults of FollowerConfig.
const (
	DefaultPollInterval = 1 * time.Second
	DefaultReadTimeout  = 1 * time.Second
	DefaultFetchTimeout = 500 * time.Millisecond
	DefaultFetchRetry   = 100 * time.Millisecond
	pollJitter          = 0.25 // fraction of the poll interval, in both directions
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store  *Store
	Holder *Holder
	// Fetch requests from a peer the encoded snapshot (EncodeSnapshot) of a
	// version or a newer one. Required.
	Fetch        func(ctx context.Context, peer contract.InstanceID, version Version) ([]byte, error)
	PollInterval time.Duration // time between the starts of head reads, with 25% jitter. Default 1 s
	ReadTimeout  time.Duration // for one head read. Default 1 s
	FetchTimeout time.Duration // for one fetch of a document. Default 500 ms
	FetchRetry   time.Duration // pause after a failed fetch. Default 100 ms
	Seed         uint64        // of the jitter; 0: random
	// OnTableWentBack is called when the table service has lost accepted versions. Optional.
	OnTableWentBack func()
	Recorder        timeline.Recorder
	Log             logrus.FieldLogger
}

// Follower keeps a Holder at the newest version that the store or a peer
// reports.
type Follower struct {
	cfg    FollowerConfig
	wake   chan struct{}
	jitter *rand.Rand // used by the poll loop only

	mu           sync.Mutex // guards the fields below
	announced    map[contract.InstanceID]announcement
	missed       missedVersions
	lastRead     headRead // last successful read
	lastHeldRead headRead // last successful read whose version is held
}

// announcement is the newest version that a peer reports as verified.
type announcement struct {
	version    Version
	receivedAt time.Time
}

// headRead is a successful read of the head.
type headRead struct {
	version Version
	started time.Time
}

// FollowerStatus is how current this instance is. ConfirmInput is built from it.
type FollowerStatus struct {
	HeldVersion     Version
	NewestVersion   Version   // newest version held, read or reported by a peer
	VerifiedVersion Version   // newest version held or read from the store; sent in heartbeats. Unverified reports would circulate forever
	HeadRead        time.Time // start of the last head read whose version is held
	BehindSince     time.Time // zero unless NewestVersion > HeldVersion
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	setDefault(&cfg.PollInterval, DefaultPollInterval)
	setDefault(&cfg.ReadTimeout, DefaultReadTimeout)
	setDefault(&cfg.FetchTimeout, DefaultFetchTimeout)
	setDefault(&cfg.FetchRetry, DefaultFetchRetry)
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Recorder == nil {
		cfg.Recorder = timeline.Discard{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Follower{
		cfg:       cfg,
		wake:      make(chan struct{}, 1),
		jitter:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		announced: map[contract.InstanceID]announcement{},
	}
}

// Run polls the head and fetches new versions until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.pollLoop(ctx) })
	group.Go(func() error { return f.fetchLoop(ctx) })
	return group.Wait()
}

// ObservePeerVersion records the version that a peer reports, which is
// FollowerStatus.VerifiedVersion of the peer. It does not block. It returns
// whether this instance holds the newest reported version; if not, the contacts
// in the same message must not be recorded for ConfirmInput.
func (f *Follower) ObservePeerVersion(version Version, peer contract.InstanceID) (current bool) {
	if held := f.cfg.Holder.Current().Version; version > held {
		f.recordAnnouncement(version, held, peer)
		f.wakeFetch()
	}
	return f.Status().BehindSince.IsZero()
}

func (f *Follower) recordAnnouncement(version, held Version, peer contract.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.missed.add(version, held, now)
	if version > f.announced[peer].version {
		f.announced[peer] = announcement{version: version, receivedAt: now}
	}
}

// Status returns how current this instance is.
func (f *Follower) Status() FollowerStatus {
	held := f.cfg.Holder.Current().Version
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastRead.version <= held {
		f.lastHeldRead = f.lastRead
	}
	f.missed.dropUpTo(held)
	return FollowerStatus{
		HeldVersion:     held,
		NewestVersion:   max(held, f.missed.newest()),
		VerifiedVersion: max(held, f.lastRead.version),
		HeadRead:        f.lastHeldRead.started,
		BehindSince:     f.missed.behindSince(),
	}
}

func (f *Follower) wakeFetch() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// pollLoop reads the head periodically. The time between the starts of two reads
// stays below the confirmation window as long as reads take less than 750 ms.
func (f *Follower) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		f.poll(ctx, started)
		factor := 1 - pollJitter + 2*pollJitter*f.jitter.Float64()
		next := started.Add(time.Duration(float64(f.cfg.PollInterval) * factor))
		sleep(ctx, time.Until(next))
	}
	return nil
}

func (f *Follower) poll(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ReadTimeout)
	defer cancel()
	held := f.cfg.Holder.Accepted() // before the read, which cannot return an older version unless that was lost
	head, revision, err := f.cfg.Store.head(ctx)
	if err != nil {
		f.cfg.Log.WithError(err).Debug("configuration head was not read")
		return
	}
	if head.Version < held.Version {
		f.writeAgain(ctx, head, revision, held)
		return
	}
	f.recordRead(headRead{version: head.Version, started: started})
	f.wakeFetch()
}

// writeAgain writes the version in force to a table service that has lost it. The version in force
// must not go back, and instances that start must find it.
func (f *Follower) writeAgain(ctx context.Context, head Head, revision int64, held *Snapshot) {
	log := f.cfg.Log.WithFields(logrus.Fields{"head": head.Version, "held": held.Version})
	log.Error("table service has lost accepted configuration versions; the held one is written again")
	if f.cfg.OnTableWentBack != nil {
		f.cfg.OnTableWentBack()
	}
	if err := f.cfg.Store.writeAgain(ctx, revision, held); err != nil {
		log.WithError(err).Warn("held configuration version was not written again")
	}
}

// recordRead records a head read and drops the announcements that contradict
// it: a version is committed before any instance can announce it, so a later
// read returns at least that version.
func (f *Follower) recordRead(read headRead) {
	held := f.cfg.Holder.Current().Version
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed.add(read.version, held, read.started)
	f.missed.dropUnconfirmed(read)
	f.lastRead = read
	if read.version <= held {
		f.lastHeldRead = read
	}
	for peer, a := range f.announced {
		if a.version <= held {
			delete(f.announced, peer)
			continue
		}
		if a.version > read.version && a.receivedAt.Before(read.started) {
			f.cfg.Log.WithFields(logrus.Fields{"peer": peer, "version": a.version, "head": read.version}).
				Warn("peer announced a configuration version that was not accepted")
			delete(f.announced, peer)
		}
	}
}

// fetchLoop is the only fetcher, so that at most one fetch runs at a time.
func (f *Follower) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		}
		for ctx.Err() == nil && !f.Status().BehindSince.IsZero() {
			if !f.fetchNewest(ctx) {
				sleep(ctx, f.cfg.FetchRetry)
			}
		}
	}
}

// fetchNewest tries the sources of newer versions until a fetch succeeds.
// Documents are complete, so versions in between are skipped.
func (f *Follower) fetchNewest(ctx context.Context) bool {
	for _, s := range f.sources() {
		snapshot, err := f.fetch(ctx, s)
		if err != nil {
			f.cfg.Log.WithError(err).WithFields(logrus.Fields{"peer": s.peer, "version": s.version}).
				Warn("configuration version was not fetched")
			f.dropSource(s)
			continue
		}
		if f.cfg.Holder.Advance(snapshot) {
			f.cfg.Recorder.Record(timeline.Event{Kind: timeline.ConfigInForce, Detail: versionDetail(snapshot)})
		}
		return true
	}
	return false
}

// source is a peer or the store that has a version; peer is "" for the store.
type source struct {
	peer    contract.InstanceID
	version Version
}

// sources returns the sources of newer versions, newest first; for equal
// versions the peers come before the store.
func (f *Follower) sources() []source {
	held := f.cfg.Holder.Current().Version
	f.mu.Lock()
	defer f.mu.Unlock()
	var sources []source
	for peer, a := range f.announced {
		if a.version > held {
			sources = append(sources, source{peer: peer, version: a.version})
		}
	}
	if f.lastRead.version > held {
		sources = append(sources, source{version: f.lastRead.version})
	}
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(b.version, a.version) })
	return sources
}

// dropSource drops a peer's announcement after a failed fetch, so that crashed
// peers do not delay the next round. A live peer announces the version again
// with its next heartbeat. The version still counts as missed.
func (f *Follower) dropSource(s source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announced[s.peer].version == s.version {
		delete(f.announced, s.peer)
	}
}

func (f *Follower) fetch(ctx context.Context, s source) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.FetchTimeout)
	defer cancel()
	if s.peer == "" {
		return f.cfg.Store.Version(ctx, s.version)
	}
	data, err := f.cfg.Fetch(ctx, s.peer, s.version)
	if err != nil {
		return nil, errors.Wrap(err, "fetch from peer")
	}
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if snapshot.Version < s.version {
		return nil, errors.Newf("peer sent configuration version %d, but announced version %d", snapshot.Version, s.version)
	}
	return snapshot, nil
}

func versionDetail(s *Snapshot) string {
	return fmt.Sprintf("version=%d patch=%s", s.Version, s.PatchID)
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
