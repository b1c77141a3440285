package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

// maxClaimWrites bounds the conditional writes of one claim. After an uncertain
// or failed write the row is read back and the write repeated.
const maxClaimWrites = 5

// claim is the result of an attempt to create a record or to take over a
// released one. If neither owned nor existing is set, the store is down.
type claim struct {
	owned      bool // the record exists with the writer token of this submission
	revision   int64
	existing   *Record // record of another submission, if not owned
	retryAfter time.Duration
}

func (c claim) storeDown() bool { return !c.owned && c.existing == nil }

// claim writes record with its writer token if no record exists or the existing
// one is released. If the claim is not owned, the submission must not send. A
// write that may still take effect is then released in the background.
func (r *recordStore) claim(callerCtx context.Context, key string, record Record) claim {
	if left := r.guard.left(time.Now()); left > 0 {
		return claim{retryAfter: left}
	}
	if retryAfter, ok := r.breaker.allow(); !ok {
		return claim{retryAfter: retryAfter}
	}
	ctx, cancel := context.WithTimeout(callerCtx, r.storeTimeout)
	defer cancel()
	attempt := &claimAttempt{records: r, key: key, record: record}
	c := attempt.run(ctx)
	if !c.storeDown() || callerCtx.Err() == nil {
		// A failed claim is no evidence against the store if the caller's context
		// ended before the claim did.
		r.breaker.report(!c.storeDown())
	}
	if c.storeDown() {
		c.retryAfter = breakerProbeInterval
	}
	if c.owned {
		return r.checkLost(key, c, record)
	}
	if attempt.mayHaveEffect {
		r.reconciler.add(attempt.fence())
	}
	return c
}

// claimAttempt is the state of one claim of the record of a key.
type claimAttempt struct {
	records       *recordStore
	key           string
	record        Record
	expected      int64 // revision on which the write is conditional
	mayHaveEffect bool  // a write conditional on expected may still take effect
}

func (c *claimAttempt) run(ctx context.Context) claim {
	for range maxClaimWrites {
		result, err := c.records.batch.commit(ctx, conditionalWrite(c.key, c.expected, c.record))
		switch {
		case err == nil && result.Applied:
			return claim{owned: true, revision: result.Revision}
		case err != nil && !errors.Is(err, platform.ErrUncertain):
			return claim{}
		case err != nil:
			c.mayHaveEffect = true
		}
		row, err := c.read(ctx)
		if err != nil {
			return claim{}
		}
		if done, ok := c.applyRead(row); ok {
			return done
		}
	}
	return claim{}
}

// read returns the row of the record, with revision 0 if it is absent.
func (c *claimAttempt) read(ctx context.Context) (platform.Row, error) {
	row, err := c.records.table.Read(ctx, c.key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: c.key}, nil
	}
	return row, err
}

// applyRead evaluates the row that was read back. It returns false if the write
// must be repeated.
func (c *claimAttempt) applyRead(row platform.Row) (claim, bool) {
	if row.Revision != c.expected {
		// The revision has changed: a write conditional on the old one can no
		// longer take effect.
		c.mayHaveEffect = false
		c.expected = row.Revision
	}
	if row.Revision == 0 {
		return claim{}, false
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		c.records.log.WithError(err).WithField("record", c.key).Error("dispatch record is not readable")
		return claim{existing: &Record{State: Unknown, Fingerprint: c.record.Fingerprint}}, true
	}
	if found.Writer == c.record.Writer {
		contract.Invariant(found.State == Dispatched, "own record has a state that its owner did not write", "state", found.State)
		return claim{owned: true, revision: row.Revision}, true
	}
	if found.State != Released || found.Fingerprint != c.record.Fingerprint {
		return claim{existing: &found}, true
	}
	next, err := found.TakeOver(c.record.Writer, c.record.CreatedAt)
	contract.Invariant(err == nil, "released record cannot be taken over", "error", err)
	c.record = next
	return claim{}, false
}

// fence returns an update that fences off a write that may take effect later: a
// release on the same condition. Once the release is applied, the earlier write
// can no longer take effect.
func (c *claimAttempt) fence() pendingUpdate {
	released, err := c.record.Release(c.record.Writer)
	contract.Invariant(err == nil, "own record cannot be released", "error", err)
	return pendingUpdate{key: c.key, target: released, expected: c.expected}
}
