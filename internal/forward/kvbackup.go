package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// kvCopyTimeout bounds one copy of a run's KV memory. 8,000 tokens take a few
	// milliseconds on an idle link, and copies queue behind each other.
	kvCopyTimeout = 1500 * time.Millisecond
	// kvCopyRenewalShare is the part of a KV copy's lifetime after which it is renewed.
	kvCopyRenewalShare = 0.6
	// holderCheckInterval is the time between checks whether the backup holder is still
	// the process that received the KV copy. The list shows restarts seconds later, and
	// a failure domain may crash a few seconds after another.
	holderCheckInterval = 1500 * time.Millisecond
	// kvCopyRetryDelay is the pause after a failed copy.
	kvCopyRetryDelay = 500 * time.Millisecond
	// noCopyRoomDelay is the pause until a run without a copy looks for room for one again.
	noCopyRoomDelay = 2 * time.Second
)

// KVCopier copies the KV memory of runs between upstreams.
type KVCopier interface {
	// CopyKV copies the KV memory of a run to another upstream while the run
	// continues, and returns the name of the copy.
	CopyKV(ctx context.Context, source, run, to string) (name string, err error)
	// DropKVCopy releases a copy that CopyKV made, at both of its upstreams.
	DropKVCopy(ctx context.Context, source, name string) error
}

// storedKVCopy is a KV copy of a run and the upstream that holds it.
type storedKVCopy struct {
	KVCopy
	upstreamID string
}

// backup keeps a KV copy of a run on a live upstream. The source upstream updates the
// copy at the holder that the attempt named; if that holder is lost, copies are made on
// another upstream until the run ends.
type backup struct {
	run           *run
	holder        *pool.Member  // holder of the newest copy; nil: none
	identity      pool.Identity // identity of the holder when the copy was started
	stored        *storedKVCopy // the newest copy; nil: none
	nextCheckAt   time.Time     // time of the next check of the holder
	copyStartedAt time.Time     // when the copy was started
	nextCopyAt    time.Time     // when the copy is renewed; zero: the source upstream updates it
	copying       bool
	copied        chan copyResult
	releaseCount  func() // ends the count of the copy at its holder
}

type copyResult struct {
	holder    *pool.Member // nil: no upstream available
	identity  pool.Identity
	name      string
	err       error
	startedAt time.Time
}

// newBackup returns the backup of a run whose attempt named the holder.
func newBackup(r *run, holder *pool.Member, now time.Time) *backup {
	b := &backup{run: r, copied: make(chan copyResult, 1)}
	if holder == nil && r.noCopyRoom {
		b.nextCopyAt = now.Add(noCopyRoomDelay)
	}
	if holder != nil {
		b.store(holder, holder.Identity(), KVCopy{Address: holder.Address, RunID: r.x.meta.ID}, now)
	}
	return b
}

func (b *backup) store(holder *pool.Member, identity pool.Identity, c KVCopy, startedAt time.Time) {
	b.forget()
	b.holder = holder
	b.identity = identity
	b.stored = &storedKVCopy{KVCopy: c, upstreamID: holder.ID}
	b.copyStartedAt = startedAt
	b.nextCheckAt = startedAt.Add(holderCheckInterval)
	b.releaseCount = holder.BeginKVCopy()
}

// end ends the backup together with its run. A copy made by CopyKV takes memory and
// a slot of its holder, so it is released unless the stream resumes from it.
func (b *backup) end(resuming bool) {
	if !resuming && b.stored != nil && !b.nextCopyAt.IsZero() {
		go b.run.f.dropKVCopy(b.run.x.log, b.stored.KVCopy)
	}
	b.forget()
}

func (f *Forwarder) dropKVCopy(log logrus.FieldLogger, c KVCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), kvCopyTimeout)
	defer cancel()
	if err := f.KVCopier.DropKVCopy(ctx, c.Address, c.RunID); err != nil {
		log.WithError(err).Info("KV copy was not released; it expires by itself")
	}
}

// forget removes the state of the copy.
func (b *backup) forget() {
	if b.releaseCount != nil {
		b.releaseCount()
		b.releaseCount = nil
	}
	b.holder = nil
	b.stored = nil
	b.nextCopyAt = time.Time{}
}

// check starts a new copy if no live upstream holds one. It is called while events
// arrive, since a run has KV memory to copy from its first event on.
func (b *backup) check(ctx context.Context, now time.Time) {
	ttl := b.run.kvCopyTTL()
	if ttl == 0 || b.copying {
		return
	}
	if b.holder != nil && !b.run.f.Pool.Serves(b.holder, b.identity, b.copyStartedAt) {
		b.run.x.log.WithFields(logrus.Fields{"copy_at": b.holder.ID, "domain": b.holder.FailureDomain}).Info("KV copy of the stream is lost")
		b.forget()
		b.nextCopyAt = now
	}
	if b.holder != nil {
		b.checkHolder(ctx, now)
	}
	if b.nextCopyAt.IsZero() || now.Before(b.nextCopyAt) {
		return
	}
	b.copying = true
	holder := b.holder
	if holder != nil && holder.InPushback(now) {
		holder = nil // copy selects another holder
	}
	// The next attempt changes the list while a copy is still being made.
	excluded := slices.Clone(b.run.x.excluded)
	go b.copy(ctx, holder, excluded, now)
}

// checkHolder polls the holder for its load report if there was no recent contact.
func (b *backup) checkHolder(ctx context.Context, now time.Time) {
	if now.Before(b.nextCheckAt) {
		return
	}
	b.nextCheckAt = now.Add(holderCheckInterval)
	if b.holder.AliveSince(now.Add(-holderCheckInterval)) || b.holder.InPushback(now) {
		return // another stream polled it, or it has just responded
	}
	go b.run.f.requestReports(ctx, b.run.x.log, []*pool.Member{b.holder})
}

// copy copies the KV memory to the holder, or to a live upstream that is not excluded if it is nil.
func (b *backup) copy(ctx context.Context, holder *pool.Member, excluded []string, startedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, kvCopyTimeout)
	defer cancel()
	if holder == nil {
		found, ok := b.run.f.findBackupHolder(ctx, b.run.x, b.run.member, excluded)
		if !ok {
			b.copied <- copyResult{err: errNoBackupHolder, startedAt: startedAt}
			return
		}
		holder = found
	}
	identity := holder.Identity()
	name, err := b.run.f.KVCopier.CopyKV(ctx, b.run.member.Address, b.run.x.meta.ID, holder.Address)
	b.copied <- copyResult{holder: holder, identity: identity, name: name, err: err, startedAt: startedAt}
}

// handleCopyResult records the result of a copy.
func (b *backup) handleCopyResult(r copyResult, now time.Time) {
	b.copying = false
	fields := logrus.Fields{"took_ms": now.Sub(r.startedAt).Milliseconds()}
	if r.holder != nil {
		fields["copy_at"], fields["domain"] = r.holder.ID, r.holder.FailureDomain
	}
	if r.err != nil {
		b.run.x.log.WithFields(fields).WithError(r.err).Info("KV memory of the stream was not copied")
		b.nextCopyAt = now.Add(kvCopyRetryDelay)
		if errors.Is(r.err, errNoBackupHolder) {
			b.nextCopyAt = now.Add(noCopyRoomDelay)
		}
		return
	}
	b.run.x.log.WithFields(fields).Info("KV memory of the stream copied")
	b.store(r.holder, r.identity, KVCopy{Address: b.run.member.Address, RunID: r.name}, r.startedAt)
	b.nextCopyAt = now.Add(time.Duration(kvCopyRenewalShare * float64(b.run.kvCopyTTL())))
}
