package storesync

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

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
}

// Run registers the instance, again whenever its row is deleted, until ctx ends.
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
	for delay := time.Duration(0); ctx.Err() == nil; delay = 2 * writeRetryPause {
		changed := r.Members.Changed()
		if !r.Members.isListed() || r.Members.needsSecret() {
			sleep(ctx, fractionOf(mathrand.Float64(), delay))
			r.register(ctx)
			continue
		}
		select {
		case <-changed:
		case <-lostCheck.C:
			r.refreshRow(ctx)
			r.removeLost(ctx, lastContact)
		case <-ctx.Done():
		}
	}
}

// register writes the row of this instance, and the secret of the fleet if there is none.
func (r *Registrar) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	secret, err := r.fleetSecret(ctx)
	if err != nil {
		r.Log.WithError(err).Warn("secret of the fleet could not be read or created")
		return
	}
	if !r.Members.isListed() {
		if err := r.writeRow(ctx); err != nil {
			r.Log.WithError(err).Warn("instance registration failed")
			return
		}
	}
	r.Members.markRegistered(secret)
	r.Log.WithFields(logrus.Fields{"address": r.Self.Address, "domain": r.Self.Domain, "weight": r.Self.Weight}).Info("instance registered")
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

// fleetSecret returns the secret of the fleet, and creates it if there is none.
func (r *Registrar) fleetSecret(ctx context.Context) ([]byte, error) {
	if secret := r.Members.AuthoritySecret(); secret != nil {
		return secret, nil
	}
	generated := make([]byte, secretBytes)
	_, _ = rand.Read(generated) // never fails
	return r.Store.Create(ctx, discovery.Instances, secretKey, generated)
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
	if err := r.Store.Remove(ctx, discovery.Instances, m.rowKey()); err != nil {
		log.WithError(err).Info("row of a lost instance was not removed")
		return
	}
	log.Info("row of a lost instance removed")
}
