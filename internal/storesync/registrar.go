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
	// reader that it should follow removes its row.
	instanceLossTimeout = 10 * time.Minute
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
	for delay := time.Duration(0); ctx.Err() == nil; delay = 2 * writeRetryPause {
		changed := r.Members.Changed()
		if !r.Members.isListed() || r.Members.AuthoritySecret() == nil {
			sleep(ctx, fractionOf(mathrand.Float64(), delay))
			r.register(ctx)
			continue
		}
		select {
		case <-changed:
		case <-lostCheck.C:
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
		key, value, err := r.Self.row()
		if err == nil {
			err = r.Store.Put(ctx, discovery.Instances, key, value)
		}
		if err != nil {
			r.Log.WithError(err).Warn("instance registration failed")
			return
		}
	}
	r.Members.markRegistered(secret)
	r.Log.WithFields(logrus.Fields{"address": r.Self.Address, "domain": r.Self.Domain, "weight": r.Self.Weight}).Info("instance registered")
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

// removeLost removes the rows of instances that should follow this one and have sent no
// request for instanceLossTimeout.
func (r *Registrar) removeLost(ctx context.Context, lastContact map[contract.InstanceID]time.Duration) {
	ranked := r.Members.DomainMembers()
	contacts, readsForFollowers := r.Syncer.followerContacts()
	now := r.Clock()
	for _, m := range ranked {
		last, seen := lastContact[m.ID]
		if !seen || !readsForFollowers || m.ID == r.Self.ID {
			last = now
		}
		lastContact[m.ID] = max(last, contacts[m.ID])
		if now-lastContact[m.ID] < instanceLossTimeout {
			continue
		}
		key, _, err := m.row()
		if err == nil {
			ctx, cancel := context.WithTimeout(ctx, writeTimeout)
			err = r.Store.Remove(ctx, discovery.Instances, key)
			cancel()
		}
		r.Log.WithError(err).WithFields(logrus.Fields{"peer": m.ID, "silent_s": int((now - lastContact[m.ID]).Seconds())}).Info("row of a lost instance removed")
		delete(lastContact, m.ID)
	}
}
