package notices

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// trialKeyPrefix begins the keys of claimed trials; the verdict's ID, its epoch and the
	// number of the trial follow. The value is the writer that has claimed it.
	trialKeyPrefix = partKeyPrefix + "trial/"
	// trialPause is the least time between two trials of a verdict, in which the first one
	// ends.
	trialPause = time.Minute
	// trialRetryPause is the least time between two claims of one instance for a verdict.
	trialRetryPause = 5 * time.Second
	// maxTrialRows bounds the claims that are remembered.
	maxTrialRows = 10_000
)

// trialDelays has the time after a verdict came into force after which each trial is due.
var trialDelays = [...]time.Duration{30 * time.Second, 5 * time.Minute}

// trialClaim is a claimed trial.
type trialClaim struct {
	at       time.Time
	own      bool // by this process
	used     bool // the request was sent
	removeAt time.Time
	// rewriteAt is when the row, which the store has lost, is written again; zero: it has the row.
	rewriteAt time.Time
}

func trialKey(id string, epoch int64, n int) string {
	return fmt.Sprintf("%s%s-%d-%d", trialKeyPrefix, id, epoch, n)
}

// ClaimTrial reports whether this request may be sent although the verdict refuses it. A due
// trial is claimed in the background, for a later request.
func (e *partExchange) ClaimTrial(v poison.Verdict) bool {
	now := time.Now()
	id := v.ID()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.verdicts[id]
	if state == nil || !state.inForce {
		return false
	}
	key, due := e.nextClaim(id, state)
	if claim := e.trials[key]; claim != nil {
		claim.used = true
		e.log.WithField("key", key).Info("trial of a verdict on parts of prompts begins")
		return true
	}
	if key != "" && state.row != nil && !now.Before(due) && state.claimAt.IsZero() && !now.Before(state.claimRetryAt) {
		state.claimAt = now.Add(writeDelay(answerSpread))
		e.notify()
	}
	return false
}

// nextClaim returns the key of a trial that this instance has claimed and not used, or of the
// next one to claim, and when that is due. The caller holds mu.
func (e *partExchange) nextClaim(id string, state *verdictState) (key string, due time.Time) {
	var last time.Time
	inherited := e.inheritedTrials(id, state)
	for n, delay := range trialDelays {
		if n < inherited {
			continue
		}
		key := trialKey(id, state.epoch, n)
		claim := e.trials[key]
		switch {
		case claim == nil:
			return key, latest(state.knownAt.Add(delay), last.Add(trialPause))
		case claim.own && !claim.used:
			return key, claim.at
		}
		last = claim.at
	}
	return "", time.Time{}
}

// inheritedTrials returns the number of trials that were claimed of verdicts which this one has
// narrowed down. The caller holds mu.
func (e *partExchange) inheritedTrials(id string, state *verdictState) (claimed int) {
	for otherID, other := range e.verdicts {
		if otherID == id || !containsAll(other.verdict.Parts, state.verdict.Parts) {
			continue
		}
		for n := range trialDelays {
			if e.trials[trialKey(otherID, other.epoch, n)] != nil {
				claimed++
			}
		}
	}
	return claimed
}

// containsAll reports whether ascending parts contain all of the others.
func containsAll(parts, others []poison.Part) bool {
	for _, part := range others {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}

// nextTrial returns the claim of a trial that is due. The caller holds mu.
func (e *partExchange) nextTrial(now time.Time) (write *partWrite, next time.Time) {
	for key, claim := range e.trials {
		if claim.rewriteAt.IsZero() {
			continue
		}
		if !now.Before(claim.rewriteAt) {
			return e.trialWrite(key, func() { claim.rewriteAt = time.Now().Add(trialRetryPause) }), time.Time{}
		}
		next = earliest(next, claim.rewriteAt)
	}
	for id, state := range e.verdicts {
		if state.claimAt.IsZero() {
			continue
		}
		if now.Before(state.claimAt) {
			next = earliest(next, state.claimAt)
			continue
		}
		state.claimAt = time.Time{}
		key, due := e.nextClaim(id, state)
		if key == "" || e.trials[key] != nil || now.Before(due) || !state.inForce {
			continue // claimed by another instance, or no longer needed
		}
		return e.trialWrite(key, func() { state.claimRetryAt = time.Now().Add(trialRetryPause) }), time.Time{}
	}
	return nil, next
}

// trialWrite returns the claim of a trial. delay delays the next attempt.
func (e *partExchange) trialWrite(key string, delay func()) *partWrite {
	var owner string
	return &partWrite{
		key: key,
		call: func(ctx context.Context, store discovery.Store) error {
			value, err := store.Create(ctx, discovery.Notices, key, []byte(e.writer))
			owner = string(value)
			return err
		},
		ended: func(err error) {
			delay()
			if err == nil {
				e.recordTrial(time.Now(), key, owner)
			}
		},
	}
}

// recordTrial records a claim. The caller holds mu.
func (e *partExchange) recordTrial(now time.Time, key, owner string) {
	claim := e.trials[key]
	if claim == nil {
		if len(e.trials) >= maxTrialRows {
			return
		}
		claim = &trialClaim{at: now}
		e.trials[key] = claim
		e.log.WithFields(logrus.Fields{"key": key, "own": owner == e.writer}).Info("trial of a verdict on parts of prompts claimed")
	}
	claim.own, claim.rewriteAt = owner == e.writer, time.Time{}
	claim.removeAt = now.Add(verdictLifetime + writeDelay(verdictRemoveSpread))
}

// applyTrial applies a changed row. A claim whose response was lost is learned this way.
func (e *partExchange) applyTrial(now time.Time, row discovery.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if row.Deleted {
		delete(e.trials, row.Key)
		return
	}
	e.recordTrial(now, row.Key, string(row.Value))
}

// nextTrialRemoval returns the removal of the claim of a verdict that is no longer in force.
// The caller holds mu.
func (e *partExchange) nextTrialRemoval(now time.Time) (*partWrite, time.Time) {
	for key, claim := range e.trials {
		if now.Before(claim.removeAt) {
			continue
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(key, trialKeyPrefix), "-")
		if e.verdicts[id] != nil {
			continue
		}
		return e.removal(key, func() { delete(e.trials, key) }), time.Time{}
	}
	return nil, time.Time{}
}
