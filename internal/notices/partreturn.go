package notices

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

const (
	// evidenceRewriteSpread is the time over which the instances write lost evidence again.
	evidenceRewriteSpread = time.Second
	// trialRewriteSpread is that of lost claims of trials.
	trialRewriteSpread = 2 * time.Second
)

// writtenEvidence is what a row with evidence of this instance holds.
type writtenEvidence struct {
	evidence evidence
	value    []byte
}

// removedVerdict is a verdict whose row was removed.
type removedVerdict struct {
	epoch int64
	at    time.Time
}

// errStoreReturned means that a write may be lost although it was acknowledged.
var errStoreReturned = errors.New("the store came back from a copy during the write")

func (e *partExchange) returnCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.returns
}

// writeAgain writes the rows again that a returned store lacks. stored tells the rows in the
// store. Epochs order the states of a verdict, so a row in an older state is written anyway.
func (e *partExchange) writeAgain(stored func(key string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.notify()
	now := time.Now()
	e.returns++
	e.syncVerdicts(now)
	var verdicts, claims int
	for id, state := range e.verdicts {
		if state.row != nil && !stored(verdictKeyPrefix+id) {
			state.row, state.writeAt = nil, time.Time{}
			verdicts++
		}
	}
	rows := e.evidence.rewriteLost(now, func(slot int) bool { return stored(e.evidenceKey(slot)) })
	for key, claim := range e.trials {
		if claim.own && !stored(key) {
			claim.rewriteAt = now.Add(time.Duration(rand.Float64() * float64(trialRewriteSpread)))
			claims++
		}
	}
	if verdicts+rows+claims > 0 {
		e.log.WithFields(logrus.Fields{"verdicts": verdicts, "evidence_rows": rows, "claims": claims}).Info("rows about parts of prompts lost by the store")
	}
}

// rewriteLost schedules the evidence in rows that the store has lost, and returns their number.
func (q *evidenceQueue) rewriteLost(now time.Time, stored func(slot int) bool) (rows int) {
	for slot, expiresAt := range q.expiry {
		if !now.Before(expiresAt) || stored(slot) {
			continue
		}
		q.rewriteSlot(now, slot)
		q.expiry[slot] = time.Time{}
		rows++
	}
	return rows
}

// rewriteSlot schedules the evidence in the row of a slot for another row.
func (q *evidenceQueue) rewriteSlot(now time.Time, slot int) {
	q.restore(q.written[slot].evidence)
	q.written[slot] = writtenEvidence{}
	q.schedule(now.Add(time.Duration(rand.Float64() * float64(evidenceRewriteSpread))))
}

// ownSlot returns the slot of a row of this instance.
func (e *partExchange) ownSlot(key string) (slot int, own bool) {
	text, own := strings.CutPrefix(key, evidenceKeyPrefix+e.writer+"-")
	slot, err := strconv.Atoi(text)
	return slot, own && err == nil && slot >= 0 && slot < maxEvidenceRows
}

// reviewOwnRow handles a row of this instance that a returned store shows: one that was removed is
// removed again, and the newer evidence that it has replaced is written again. The caller
// holds mu.
func (e *partExchange) reviewOwnRow(now time.Time, slot int, row discovery.Row) {
	q := &e.evidence
	switch written := q.written[slot]; {
	case row.Deleted || written.value != nil && bytes.Equal(written.value, row.Value):
	case written.value != nil:
		q.rewriteSlot(now, slot)
		fallthrough
	default:
		q.expiry[slot] = now.Add(time.Duration(rand.Float64() * float64(evidenceRewriteSpread)))
	}
}

// recordRemoved remembers a verdict whose row was removed. The caller holds mu.
func (e *partExchange) recordRemoved(now time.Time, id string, epoch int64) {
	if len(e.removed) >= maxVerdictRows {
		maps.DeleteFunc(e.removed, func(_ string, v removedVerdict) bool { return now.Sub(v.at) >= removedRetention })
	}
	if len(e.removed) < maxVerdictRows {
		e.removed[id] = removedVerdict{epoch, now}
	}
}

// restoreRemoved makes a verdict whose row a returned store shows again a lifted one, if its row
// was removed before. The caller holds mu.
func (e *partExchange) restoreRemoved(now time.Time, id string, state *verdictState) {
	if removed, ok := e.removed[id]; ok && now.Sub(removed.at) < removedRetention && state.epoch == 0 && !state.inForce {
		state.epoch, state.lifted, state.knownAt = max(removed.epoch, 1), true, now
	}
}
