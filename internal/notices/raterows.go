package notices

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// rateRewriteSpread is the least time over which the instances write lost notices again, and
	// rateRewriteInterval that for each notice.
	rateRewriteSpread   = time.Second
	rateRewriteInterval = 20 * time.Millisecond
	// maxStoredRates bounds the memory for rows, which other programs may have written.
	maxStoredRates = 10_000
)

// recordEnd records the removal of a row.
func (e *rateExchange) recordEnd(upstreamID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.linked, upstreamID) // the removal is newer
	delete(e.stored, upstreamID)
}

// recordRow records a row, and reports whether it applies. The order of one that a returned store
// shows and what this instance knows is not known, so the stricter one applies until the
// upstream's next response.
func (e *rateExchange) recordRow(upstreamID string, notice pool.RateNotice, returned bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.stored[upstreamID]; known || len(e.stored) < maxStoredRates {
		e.stored[upstreamID] = notice
	}
	if returned && e.isLaxer(upstreamID) {
		return false
	}
	delete(e.linked, upstreamID) // the row is newer
	return true
}

// latest returns the rate of an upstream that this instance knows from notices. The caller
// holds mu.
func (e *rateExchange) latest(upstreamID string) (notice pool.RateNotice, known bool) {
	if linked, ok := e.linked[upstreamID]; ok {
		return pool.RateNotice{PerSecond: linked.message.PerSecond, StartedAt: linked.message.StartedAt}, !linked.message.Ended
	}
	return e.pool.RateNotice(upstreamID)
}

// isLaxer reports whether the row about an upstream is missing, is about an earlier process, or
// states a higher rate than the notice that this instance knows. The caller holds mu.
func (e *rateExchange) isLaxer(upstreamID string) bool {
	notice, known := e.latest(upstreamID)
	row, stored := e.stored[upstreamID]
	switch {
	case !known:
		return false
	case !stored, row.StartedAt < notice.StartedAt:
		return true
	}
	return row.StartedAt == notice.StartedAt && row.PerSecond > notice.PerSecond
}

// writeAgain writes the notices that a returned store lacks, or shows with a higher rate. stored
// tells the rows in the store.
func (e *rateExchange) writeAgain(stored func(key string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.stored, func(id string, _ pool.RateNotice) bool { return !stored(rateKeyPrefix + id) })
	var ids []string
	for _, id := range append(slices.Collect(maps.Keys(e.linked)), e.pool.RateNoticeIDs()...) {
		if e.isLaxer(id) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	spread := max(rateRewriteSpread, time.Duration(len(ids))*rateRewriteInterval)
	for _, id := range ids {
		e.rewriter.schedule(rateKeyPrefix+id, writeDelay(spread), func(ctx context.Context) error { return e.rewrite(ctx, id) })
	}
}

// rewrite writes the notice about an upstream as this instance knows it, unless another one has.
func (e *rateExchange) rewrite(ctx context.Context, upstreamID string) error {
	e.mu.Lock()
	notice, _ := e.latest(upstreamID)
	needed := e.isLaxer(upstreamID)
	e.mu.Unlock()
	if !needed {
		return errNotNeeded
	}
	return e.writeRow(ctx, rateMessage{UpstreamID: upstreamID, StartedAt: notice.StartedAt, PerSecond: notice.PerSecond})
}

func (e *rateExchange) writeRow(ctx context.Context, message rateMessage) error {
	key := rateKeyPrefix + message.UpstreamID
	if message.Ended {
		return e.store.Remove(ctx, discovery.Notices, key)
	}
	value, err := json.Marshal(rateRow{PerSecond: &message.PerSecond, StartedAt: message.StartedAt})
	if err != nil {
		return err
	}
	return e.store.Put(ctx, discovery.Notices, key, value)
}
