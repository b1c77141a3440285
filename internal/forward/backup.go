package forward

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// copyTimeout bounds one copy of a run's memory. 8,000 tokens take a few
	// milliseconds on a free link, and copies wait for each other.
	kvCopyTimeout = 1500 * time.Millisecond
	// copyRenewal is the part of a copy's life after which it is made anew.
	kvCopyRenewalShare = 0.6
	// keeperCheck is the time between questions to a keeper whether it still is the
	// process that got the copy. The list shows restarts seconds later, and a
	// failure domain may crash a few seconds after another.
	holderCheckInterval = 1500 * time.Millisecond
	// copyRetry is the pause after a copy that could not be made.
	kvCopyRetryDelay = 500 * time.Millisecond
)

// Copier copies the memory of runs between upstreams.
type Copier interface {
	// CopyMemory copies the memory of a run to another upstream while the run goes
	// on, and returns the name of the copy.
	CopyMemory(ctx context.Context, source, run, to string) (name string, err error)
	// DropCopy frees a copy that CopyMemory made, at both of its upstreams.
	DropCopy(ctx context.Context, source, name string) error
}

// heldCopy is a copy of a run's memory and the upstream that keeps it.
type storedKVCopy struct {
	Copy
	upstreamID string
}

// backup sees to it that a copy of a run's memory lies on a live upstream. The
// upstream that the sending named keeps it up to date by itself; when that upstream
// is lost, copies are made on another one until the run ends.
type backup struct {
	run           *run
	holder        *pool.Member  // upstream of the newest copy; nil: none
	identity      pool.Identity // of the keeper when the copy was begun
	stored        *storedKVCopy // the newest copy; nil: none
	nextCheckAt   time.Time     // when the keeper is asked next
	copyStartedAt time.Time     // when the copy was begun
	nextCopyAt    time.Time     // when the copy has to be made again; zero: the upstream keeps it up to date
	copying       bool
	copied        chan copyResult
	releaseCount  func() // ends the count of the copy at its keeper
}

type copyResult struct {
	holder    *pool.Member // nil: no upstream was found
	identity  pool.Identity
	name      string
	err       error
	startedAt time.Time
}

// newBackup returns the backup of a run whose sending named the keeper.
func newBackup(r *run, holder *pool.Member, now time.Time) *backup {
	b := &backup{run: r, copied: make(chan copyResult, 1)}
	if holder != nil {
		b.store(holder, holder.Identity(), Copy{Address: holder.Address, Run: r.x.meta.ID}, now)
	}
	return b
}

func (b *backup) store(holder *pool.Member, identity pool.Identity, c Copy, startedAt time.Time) {
	b.forget()
	b.holder = holder
	b.identity = identity
	b.stored = &storedKVCopy{Copy: c, upstreamID: holder.ID}
	b.copyStartedAt = startedAt
	b.nextCheckAt = startedAt.Add(holderCheckInterval)
	b.releaseCount = holder.KeepCopy()
}

// end ends the backup together with its run. A copy that was made by a call
// takes memory and a slot of its keeper, so it is freed unless the stream goes
// on from it.
func (b *backup) end(resuming bool) {
	if !resuming && b.stored != nil && !b.nextCopyAt.IsZero() {
		go b.run.f.dropKVCopy(b.run.x.log, b.stored.Copy)
	}
	b.forget()
}

func (f *Forwarder) dropKVCopy(log logrus.FieldLogger, c Copy) {
	ctx, cancel := context.WithTimeout(context.Background(), kvCopyTimeout)
	defer cancel()
	if err := f.Copier.DropCopy(ctx, c.Address, c.Run); err != nil {
		log.WithError(err).Info("copy was not freed; it ends by itself")
	}
}

// drop forgets the copy.
func (b *backup) forget() {
	if b.releaseCount != nil {
		b.releaseCount()
		b.releaseCount = nil
	}
	b.holder = nil
	b.stored = nil
	b.nextCopyAt = time.Time{}
}

// check makes a new copy if there is none on a live upstream. It is called while
// events arrive, since a run has memory to copy from its first event on.
func (b *backup) check(ctx context.Context, now time.Time) {
	lifetime := b.run.kvCopyLifetime()
	if lifetime == 0 || b.copying {
		return
	}
	if b.holder != nil && !b.run.f.Pool.Serves(b.holder, b.identity, b.copyStartedAt) {
		b.run.x.log.WithFields(logrus.Fields{"copy_at": b.holder.ID, "domain": b.holder.FailureDomain}).Info("copy of the stream's memory is lost")
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
	if holder != nil && holder.PushesBack(now) {
		holder = nil // another one is looked for
	}
	go b.copy(ctx, holder, now)
}

// checkKeeper asks the keeper for a report if it has not answered lately.
func (b *backup) checkHolder(ctx context.Context, now time.Time) {
	if now.Before(b.nextCheckAt) {
		return
	}
	b.nextCheckAt = now.Add(holderCheckInterval)
	if b.holder.AliveSince(now.Add(-holderCheckInterval)) || b.holder.PushesBack(now) {
		return // another stream has asked, or it has just answered
	}
	go b.run.f.requestReports(ctx, b.run.x, []*pool.Member{b.holder})
}

// copy copies the memory to the keeper, or to a live upstream if it is nil.
func (b *backup) copy(ctx context.Context, holder *pool.Member, startedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, kvCopyTimeout)
	defer cancel()
	if holder == nil {
		found, ok := b.run.f.findBackupHolder(ctx, b.run.x, b.run.member)
		if !ok {
			b.copied <- copyResult{err: errNoBackupHolder, startedAt: startedAt}
			return
		}
		holder = found
	}
	identity := holder.Identity()
	name, err := b.run.f.Copier.CopyMemory(ctx, b.run.member.Address, b.run.x.meta.ID, holder.Address)
	b.copied <- copyResult{holder: holder, identity: identity, name: name, err: err, startedAt: startedAt}
}

// take notes the result of a copy.
func (b *backup) handleCopyResult(r copyResult, now time.Time) {
	b.copying = false
	fields := logrus.Fields{"took_ms": now.Sub(r.startedAt).Milliseconds()}
	if r.holder != nil {
		fields["copy_at"], fields["domain"] = r.holder.ID, r.holder.FailureDomain
	}
	if r.err != nil {
		b.run.x.log.WithFields(fields).WithError(r.err).Info("stream's memory was not copied")
		b.nextCopyAt = now.Add(kvCopyRetryDelay)
		return
	}
	b.run.x.log.WithFields(fields).Info("stream's memory copied")
	b.store(r.holder, r.identity, Copy{Address: b.run.member.Address, Run: r.name}, r.startedAt)
	b.nextCopyAt = now.Add(time.Duration(kvCopyRenewalShare * float64(b.run.kvCopyLifetime())))
}
