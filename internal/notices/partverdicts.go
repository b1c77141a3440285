package notices

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	// verdictKeyPrefix begins the keys of verdicts; the verdict's ID follows.
	verdictKeyPrefix = partKeyPrefix + "verdict/"
	// verdictLifetime is how long a verdict stays in force after the last request that was
	// refused by it at any instance.
	verdictLifetime = 10 * time.Minute
	// verdictRenewInterval is the age at which an instance that refuses by a verdict renews its
	// row, and verdictRenewSpread the time over which the instances do so.
	verdictRenewInterval = time.Minute
	verdictRenewSpread   = 20 * time.Second
	// verdictRemoveSpread is the time over which the instances remove the row of a verdict.
	verdictRemoveSpread = time.Minute
	// verdictReviewTime is the time after a conviction in which the crashes that it follows from
	// are still known, so that the ledger can compare them with successes.
	verdictReviewTime = crashLifetime / 2
	// verdictRetrySpread replaces answerSpread while writes fail.
	verdictRetrySpread = 5 * time.Second
	// maxVerdictRows bounds the verdicts that are tracked, maxEpoch their epochs.
	maxVerdictRows = 2000
	maxEpoch       = 1 << 40
)

// verdictRow is the value of the row of a verdict.
type verdictRow struct {
	Instance string   `json:"instance"` // that has written the row
	Parts    []string `json:"parts"`
	// Epoch counts the convictions of these parts. In an epoch the verdict is in force until
	// it is lifted.
	Epoch   int64 `json:"epoch"`
	Lifted  bool  `json:"lifted,omitempty"`
	Renewal int64 `json:"renewal,omitempty"` // changes the row
}

// verdictState is what is known of a verdict.
type verdictState struct {
	verdict   poison.Verdict
	epoch     int64
	lifted    bool // in this epoch
	inForce   bool // in the ledger
	adopted   bool // read from a row before it was reached here
	knownAt   time.Time
	refusedAt time.Time // last request that was refused by it here

	row       *verdictRow // in the store; nil: none
	changedAt time.Time   // when the row was read
	removeAt  time.Time   // unless it changes
	writeAt   time.Time   // of the planned write; zero: none

	linked   linkedVerdict
	linkedAt time.Time // when it was sent or received over links

	claimAt      time.Time // of the planned claim of a trial; zero: none
	claimRetryAt time.Time // no claim before this time
}

// linkedVerdict is what goes over links about a verdict.
type linkedVerdict struct {
	epoch  int64
	lifted bool
}

// decodeVerdict decodes a row, which another program may have written.
func decodeVerdict(key string, value []byte) (verdictRow, poison.Verdict, error) {
	var row verdictRow
	if err := json.Unmarshal(value, &row); err != nil {
		return row, poison.Verdict{}, err
	}
	parts, err := decodeParts(row.Parts)
	if err != nil {
		return row, poison.Verdict{}, err
	}
	v := poison.Verdict{Parts: parts}
	if len(parts) == 0 || !slices.IsSorted(parts) || v.ID() != strings.TrimPrefix(key, verdictKeyPrefix) || row.Epoch < 1 || row.Epoch > maxEpoch {
		return row, poison.Verdict{}, errors.Wrapf(errInvalidPartRow, "verdict %s of %d parts, epoch %d", v.ID(), len(parts), row.Epoch)
	}
	return row, v, nil
}

// ShareVerdicts shares verdicts that are new at this instance.
func (e *partExchange) ShareVerdicts([]poison.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncVerdicts(time.Now())
	e.notify()
}

// Refused informs about a request that was refused by a verdict.
func (e *partExchange) Refused(v poison.Verdict) {
	id := v.ID()
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := e.verdicts[id]; state != nil {
		state.refusedAt = time.Now()
	}
}

// syncVerdicts compares the verdicts of the ledger with those that are tracked. The caller
// holds mu.
func (e *partExchange) syncVerdicts(now time.Time) {
	if e.ledgerChanged != nil {
		select {
		case <-e.ledgerChanged:
		default:
			return
		}
	}
	e.ledgerChanged = e.ledger.Changed()
	inLedger := map[string]bool{}
	for _, v := range e.ledger.Verdicts() {
		id := v.ID()
		inLedger[id] = true
		if state := e.trackVerdict(id, v); state != nil && !state.inForce {
			state.enforce(now)
			e.log.WithFields(logrus.Fields{"verdict": id, "parts": encodeParts(v.Parts), "epoch": state.epoch}).Info("verdict on parts of prompts in force")
		}
	}
	for id, state := range e.verdicts {
		if state.inForce && !inLedger[id] {
			state.inForce, state.lifted, state.adopted = false, true, false
			e.log.WithFields(logrus.Fields{"verdict": id, "epoch": state.epoch}).Info("verdict on parts of prompts no longer in force")
		}
	}
}

// reviewedAt returns the times of verdicts on parts that an earlier success at another instance
// does not lift, as the crashes that the verdicts follow from are not known here or no
// longer. If it lifts the verdict where they are known, its row says so.
func (e *partExchange) reviewedAt(now time.Time) map[poison.Part]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncVerdicts(now)
	times := map[poison.Part]time.Time{}
	for _, state := range e.verdicts {
		if !state.inForce || !state.adopted && now.Sub(state.knownAt) < verdictReviewTime {
			continue
		}
		for _, part := range state.verdict.Parts {
			times[part] = latest(times[part], state.knownAt)
		}
	}
	return times
}

// trackVerdict returns the state of a verdict, or nil if there are too many.
func (e *partExchange) trackVerdict(id string, v poison.Verdict) *verdictState {
	state := e.verdicts[id]
	if state == nil && len(e.verdicts) < maxVerdictRows {
		state = &verdictState{verdict: v}
		e.verdicts[id] = state
	}
	return state
}

// enforce records that the verdict is in the ledger.
func (s *verdictState) enforce(now time.Time) {
	if s.lifted {
		s.epoch, s.lifted = s.epoch+1, false
	}
	s.epoch = max(s.epoch, 1)
	s.inForce, s.knownAt = true, now
}

// wanted returns the row that should replace the one in the store, and the time over which
// the instances write it.
func (s *verdictState) wanted(now time.Time) (row verdictRow, spread time.Duration, ok bool) {
	row = verdictRow{Parts: encodeParts(s.verdict.Parts), Epoch: s.epoch, Lifted: s.lifted}
	switch outdated := s.row != nil && (s.row.Epoch < s.epoch || s.row.Epoch == s.epoch && s.row.Lifted != s.lifted); {
	case s.inForce && s.row == nil, outdated:
		return row, answerSpread, true
	case s.inForce && s.refusedAt.After(s.changedAt) && now.Sub(s.changedAt) >= verdictRenewInterval:
		row.Renewal = s.row.Renewal + 1
		return row, verdictRenewSpread, true
	}
	return row, 0, false
}

// nextVerdict returns the write of a verdict that is due. A verdict that replaces a lifted one
// is written first, so that instances that restart refuse by one of them. The caller holds mu.
func (e *partExchange) nextVerdict(now time.Time) (write *partWrite, next time.Time) {
	var lifted *verdictState
	complete := true
	for _, state := range e.verdicts {
		row, spread, ok := state.wanted(now)
		if !ok {
			state.writeAt = time.Time{}
			continue
		}
		complete = complete && state.row != nil
		if state.writeAt.IsZero() {
			if e.failing {
				spread = max(spread, verdictRetrySpread)
			}
			state.writeAt = now.Add(writeDelay(spread))
		}
		switch {
		case now.Before(state.writeAt):
			next = earliest(next, state.writeAt)
		case row.Lifted:
			lifted = state
		default:
			return e.verdictWrite(state, row), time.Time{}
		}
	}
	if lifted != nil && complete {
		row, _, _ := lifted.wanted(now)
		return e.verdictWrite(lifted, row), time.Time{}
	}
	return nil, next
}

// earliest returns the earlier of two times, of which zero ones are ignored.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (e *partExchange) verdictWrite(state *verdictState, row verdictRow) *partWrite {
	key := verdictKeyPrefix + state.verdict.ID()
	row.Instance = e.instance
	value, err := json.Marshal(row)
	var message *partMessage
	if state.recordLinked(time.Now(), row) && row.Renewal == 0 {
		message = &partMessage{Key: key, Value: value}
	}
	return &partWrite{
		key: key, message: message,
		call: func(ctx context.Context, store discovery.Store) error {
			if err != nil {
				return err
			}
			return store.Put(ctx, discovery.Notices, key, value)
		},
		ended: func(err error) {
			state.writeAt = time.Time{}
			if err == nil {
				state.recordRow(time.Now(), row)
				e.log.WithFields(logrus.Fields{"key": key, "epoch": row.Epoch, "lifted": row.Lifted, "renewal": row.Renewal}).Info("verdict on parts of prompts shared with other instances")
			}
		},
	}
}

// recordLinked records a row that goes over links, and reports whether none like it has gone
// lately.
func (s *verdictState) recordLinked(now time.Time, row verdictRow) bool {
	current := linkedVerdict{row.Epoch, row.Lifted}
	if s.linked == current && now.Sub(s.linkedAt) < partLinkInterval {
		return false
	}
	s.linked, s.linkedAt = current, now
	return true
}

// recordRow records the row in the store.
func (s *verdictState) recordRow(now time.Time, row verdictRow) {
	s.row, s.changedAt = &row, now
	s.removeAt = now.Add(verdictLifetime + writeDelay(verdictRemoveSpread))
}

// applyVerdict applies a changed row.
func (e *partExchange) applyVerdict(now time.Time, row discovery.Row, returned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncVerdicts(now)
	id := strings.TrimPrefix(row.Key, verdictKeyPrefix)
	if row.Deleted {
		e.forgetVerdict(now, id)
		return
	}
	if state, value := e.readVerdict(id, row); state != nil {
		if returned {
			e.restoreRemoved(now, id, state)
		}
		state.recordRow(now, value)
		e.followVerdict(now, id, value)
	}
}

// applyLinkedVerdict applies a row that came over a link, and may not be in the store.
func (e *partExchange) applyLinkedVerdict(now time.Time, row discovery.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncVerdicts(now)
	id := strings.TrimPrefix(row.Key, verdictKeyPrefix)
	if state, value := e.readVerdict(id, row); state != nil {
		state.recordLinked(now, value)
		e.followVerdict(now, id, value)
	}
}

// readVerdict decodes a row and returns the state of its verdict, or nil if it is invalid. The
// caller holds mu.
func (e *partExchange) readVerdict(id string, row discovery.Row) (*verdictState, verdictRow) {
	value, v, err := decodeVerdict(row.Key, row.Value)
	if err != nil {
		e.log.WithError(err).WithField("key", row.Key).Warn("invalid row of a verdict on parts of prompts ignored")
		return nil, value
	}
	state := e.trackVerdict(id, v)
	if state == nil {
		e.log.WithField("key", row.Key).Warn("too many verdicts on parts of prompts; one ignored")
	}
	return state, value
}

// followVerdict adopts or lifts a verdict as another instance has. Within an epoch a lifted
// verdict is the later state, so a row in force is then out of date.
func (e *partExchange) followVerdict(now time.Time, id string, row verdictRow) {
	state := e.verdicts[id]
	if row.Epoch < state.epoch || row.Epoch == state.epoch && state.lifted {
		return
	}
	state.epoch = row.Epoch
	if row.Lifted {
		state.lifted, state.inForce, state.adopted = true, false, false
		e.ledger.Lift(now, id)
	} else {
		state.lifted, state.adopted = false, !state.inForce || state.adopted
		e.ledger.Adopt(now, state.verdict)
	}
	e.syncVerdicts(now)
	state.adopted = state.adopted && state.inForce
	if !row.Lifted && !state.inForce {
		e.shareAgain(now, state.verdict.Parts)
	}
}

// forgetVerdict handles the removal of a row. An instance that refuses by the verdict writes the
// row again.
func (e *partExchange) forgetVerdict(now time.Time, id string) {
	state := e.verdicts[id]
	if state == nil {
		return
	}
	state.row = nil
	if state.inForce && now.Sub(state.refusedAt) < verdictLifetime {
		return
	}
	e.recordRemoved(now, id, state.epoch)
	delete(e.verdicts, id)
	e.ledger.Lift(now, id)
}

// nextVerdictRemoval returns the removal of a row by which no instance refuses any more. The
// caller holds mu.
func (e *partExchange) nextVerdictRemoval(now time.Time) (*partWrite, time.Time) {
	for id, state := range e.verdicts {
		switch {
		case state.row == nil && !state.inForce && now.Sub(state.knownAt) >= verdictLifetime:
			delete(e.verdicts, id)
		case state.row != nil && !now.Before(state.removeAt) && (!state.inForce || now.Sub(state.refusedAt) >= verdictLifetime):
			return e.removal(verdictKeyPrefix+id, func() { e.forgetVerdict(time.Now(), id) }), time.Time{}
		}
	}
	return nil, time.Time{}
}
