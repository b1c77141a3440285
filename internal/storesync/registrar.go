package storesync

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	writeTimeout = 2 * time.Second
	// writeRetryPause is the mean pause before a row is written again, after a failed write
	// or because it was deleted.
	writeRetryPause = time.Second
	// instanceLossTimeout is the time without a request from an instance after which the
	// reader that it should follow removes its row, or without a refreshed row where there
	// are no links.
	instanceLossTimeout = 10 * time.Minute
	// rowRefreshInterval is the time after which an instance without links writes its row
	// again.
	rowRefreshInterval = 3 * time.Minute
	// lostCheckInterval is the interval of removeLost.
	lostCheckInterval = time.Minute
)

// The store takes 200 writes a second in a part. After it has come back from a copy, the
// upstreams and the operator write again as well.
const (
	// minRewriteSpread and rewriteSpreadPerMember give the time over which the instances write
	// lost rows again.
	minRewriteSpread       = 300 * time.Millisecond
	rewriteSpreadPerMember = 15 * time.Millisecond
	// secretWriters is how many instances write a lost secret again at intervals of
	// secretWriterInterval. The others, which read its row only some seconds later, do so after
	// secretBackupDelay, over secretBackupSpread.
	secretWriters        = 4
	secretWriterInterval = 500 * time.Millisecond
	secretBackupDelay    = 12 * time.Second
	secretBackupSpread   = 20 * time.Second
	// secretWait and secretWaitSpread are the time in which an instance that knows no secret
	// leaves it to others to write theirs again while the store can be reached.
	secretWait       = 5 * time.Second
	secretWaitSpread = 3 * time.Second
	// removalRetryPause is the time in which the removal of a row is read.
	removalRetryPause = 15 * time.Second
	// removedRetention is how long a removed row is remembered. Copies of the store are
	// seconds old.
	removedRetention = 10 * time.Minute
)

// errStoreReturned means that a write may be lost although it was acknowledged.
var errStoreReturned = errors.New("the store came back from a copy during the write")

// Registrar maintains this instance's row in the store and removes the rows of lost
// instances.
type Registrar struct {
	Store   discovery.Store
	Self    Member
	Members *Members
	Syncer  *Syncer
	Clock   discovery.Clock
	Log     logrus.FieldLogger

	writtenAt time.Duration // when Run began or last wrote the row, by the clock
	started   bool          // the first writes have been planned
	removed   map[contract.InstanceID]removedRow
}

// removedRow is the row of a lost instance that this instance has removed.
type removedRow struct {
	value   []byte
	at      time.Duration // by the clock
	retryAt time.Duration // the row is not removed again before this time
}

// plannedWrite is when a row is written, and why.
type plannedWrite struct {
	need  writeNeed
	dueAt time.Time
}

// plan sets the time of a write whose need is new.
func (p *plannedWrite) plan(now time.Time, need writeNeed, delay func(writeNeed) time.Duration) {
	if need != p.need {
		p.need = need
		p.dueAt = now.Add(delay(need))
	}
}

func (p *plannedWrite) isDue(now time.Time) bool { return p.need != upToDate && !now.Before(p.dueAt) }

// retry sets the time of a write that has failed.
func (p *plannedWrite) retry(now time.Time) {
	p.dueAt = now.Add(fractionOf(mathrand.Float64(), 2*writeRetryPause))
}

// Run registers the instance, again whenever its row is deleted or lost, until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	select {
	case <-r.Members.Loaded():
	case <-ctx.Done():
		return
	}
	lostCheck := time.NewTicker(lostCheckInterval)
	defer lostCheck.Stop()
	lastContact := map[contract.InstanceID]time.Duration{}
	r.writtenAt = r.Clock()
	var row, secret plannedWrite
	for ctx.Err() == nil {
		changed := r.Members.Changed()
		rowNeed, secretNeed := r.Members.needs()
		now := time.Now()
		row.plan(now, rowNeed, r.rowDelay)
		secret.plan(now, secretNeed, r.secretDelay)
		r.started = true
		r.removeReappeared(ctx)
		// An instance that reads the row of another one can thus expect the secret as well.
		if secret.isDue(now) {
			if wait := r.untilSecretIsAbsent(secretNeed); wait > 0 {
				secret.dueAt = now.Add(wait)
				continue
			}
			r.writeSecret(ctx)
			secret.retry(time.Now())
			continue
		}
		if row.isDue(now) {
			r.register(ctx)
			row.retry(time.Now())
			continue
		}
		due := time.NewTimer(untilNextWrite(now, row, secret))
		select {
		case <-changed:
		case <-due.C:
		case <-lostCheck.C:
			r.refreshRow(ctx)
			r.removeLost(ctx, lastContact)
		case <-ctx.Done():
		}
		due.Stop()
	}
}

func untilNextWrite(now time.Time, writes ...plannedWrite) time.Duration {
	wait := lostCheckInterval
	for _, w := range writes {
		if w.need != upToDate {
			wait = min(wait, w.dueAt.Sub(now))
		}
	}
	return wait
}

// rowDelay returns the time until the row of this instance is written.
func (r *Registrar) rowDelay(need writeNeed) time.Duration {
	switch {
	case need == lost:
		return fractionOf(mathrand.Float64(), r.rewriteSpread())
	case !r.started:
		return 0
	}
	return fractionOf(mathrand.Float64(), 2*writeRetryPause)
}

func (r *Registrar) rewriteSpread() time.Duration {
	return max(minRewriteSpread, time.Duration(r.Members.Count())*rewriteSpreadPerMember)
}

// secretDelay returns the time until the secret is written.
func (r *Registrar) secretDelay(need writeNeed) time.Duration {
	switch {
	case need == lost:
		return r.lostSecretDelay()
	case r.Members.secretMayBeHeld():
		return secretWait + fractionOf(mathrand.Float64(), secretWaitSpread)
	case !r.started:
		return 0
	}
	return fractionOf(mathrand.Float64(), 2*writeRetryPause)
}

// untilSecretIsAbsent returns how much longer an instance that knows no secret leaves it to others to
// write theirs again, which they cannot while the store is away.
func (r *Registrar) untilSecretIsAbsent(need writeNeed) time.Duration {
	reachable := r.Syncer.storeReachableFor()
	if need != absent || reachable >= secretWait || !r.Members.secretMayBeHeld() {
		return 0
	}
	return secretWait - reachable + fractionOf(mathrand.Float64(), secretWaitSpread)
}

// lostSecretDelay returns the time until this instance writes a lost secret again. Few do so
// soon, in an order that is the same at all instances.
func (r *Registrar) lostSecretDelay() time.Duration {
	for rank, m := range r.Members.all() {
		if rank < secretWriters && m.ID == r.Self.ID {
			return time.Duration(rank)*secretWriterInterval + fractionOf(mathrand.Float64(), secretWriterInterval/2)
		}
	}
	return secretBackupDelay + fractionOf(mathrand.Float64(), secretBackupSpread)
}

// register writes the row of this instance.
func (r *Registrar) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	returns := r.Members.returnCount()
	err := r.writeRow(ctx)
	if err == nil && !r.Members.markListed(returns) {
		err = errStoreReturned
	}
	if err != nil {
		r.Log.WithError(err).Warn("instance registration failed")
		return
	}
	r.Log.WithFields(logrus.Fields{"address": r.Self.Address, "domain": r.Self.Domain, "weight": r.Self.Weight}).Info("instance registered")
}

// writeSecret writes the secret of the fleet if there is none, and reads it.
func (r *Registrar) writeSecret(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	secret := r.Members.AuthoritySecret()
	if secret == nil {
		secret = make([]byte, secretBytes)
		_, _ = rand.Read(secret) // never fails
	}
	returns := r.Members.returnCount()
	current, err := r.Store.Create(ctx, discovery.Instances, secretKey, secret)
	if err == nil && !r.Members.markSecret(current, returns) {
		err = errStoreReturned
	}
	if err != nil {
		r.Log.WithError(err).Warn("secret of the fleet could not be read or created")
	}
}

func (r *Registrar) writeRow(ctx context.Context) error {
	key, value, err := r.Self.row(time.Now())
	if err == nil {
		err = r.Store.Put(ctx, discovery.Instances, key, value)
	}
	if err == nil {
		r.writtenAt = r.Clock()
	}
	return err
}

// refreshRow writes the row again in a failure domain without links, from which the others
// know that this instance runs.
func (r *Registrar) refreshRow(ctx context.Context) {
	if len(r.Members.DomainMembers()) >= minDomainSize || r.Clock()-r.writtenAt < rowRefreshInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := r.writeRow(ctx); err != nil {
		r.Log.WithError(err).Info("row of this instance was not refreshed")
	}
}

// removeLost removes the rows of lost instances: those of the own failure domain, and, if this
// is the first instance of the fleet, those of all domains without links.
func (r *Registrar) removeLost(ctx context.Context, lastContact map[contract.InstanceID]time.Duration) {
	all := r.Members.all()
	domainSizes := map[contract.FailureDomainID]int{}
	for _, m := range all {
		domainSizes[m.Domain]++
	}
	contacts, readsForFollowers := r.Syncer.followerContacts()
	rowsCurrent := r.Syncer.readsInstances()
	now := r.Clock()
	var lost []Member
	var first contract.InstanceID // of the fleet
	for _, m := range all {
		linked := domainSizes[m.Domain] >= minDomainSize
		if observed := m.Domain == r.Self.Domain || !linked; observed {
			last, seen := lastContact[m.ID]
			if !seen || m.ID == r.Self.ID || linked && !readsForFollowers || !linked && !rowsCurrent {
				last = now
			}
			if !linked {
				last = max(last, now-m.sinceChange)
			}
			lastContact[m.ID] = max(last, contacts[m.ID])
			if now-lastContact[m.ID] >= instanceLossTimeout {
				lost = append(lost, m.Member)
				continue
			}
		}
		if first == "" {
			first = m.ID
		}
	}
	for _, m := range lost {
		if m.Domain == r.Self.Domain || first == r.Self.ID {
			r.removeRow(ctx, m, now-lastContact[m.ID])
			delete(lastContact, m.ID)
		}
	}
}

func (r *Registrar) removeRow(ctx context.Context, m Member, silent time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	log := r.Log.WithFields(logrus.Fields{"peer": m.ID, "silent_s": int(silent.Seconds())})
	value := r.Members.rowValue(m.ID)
	if err := r.Store.Remove(ctx, discovery.Instances, m.rowKey()); err != nil {
		log.WithError(err).Info("row of a lost instance was not removed")
		return
	}
	if r.removed == nil {
		r.removed = map[contract.InstanceID]removedRow{}
	}
	r.removed[m.ID] = removedRow{value: value, at: r.Clock()}
	log.Info("row of a lost instance removed")
}

// removeReappeared removes the rows of lost instances again that the store shows since it has
// come back from a copy.
func (r *Registrar) removeReappeared(ctx context.Context) {
	for id, row := range r.removed {
		if r.Clock()-row.at >= removedRetention {
			delete(r.removed, id)
			continue
		}
		if m, ok := r.Members.reappeared(id, row.value); ok && r.Clock() >= row.retryAt {
			r.removeRow(ctx, m, r.Clock()-row.at)
			row = r.removed[id]
			row.retryAt = r.Clock() + removalRetryPause
			r.removed[id] = row
		}
	}
}
