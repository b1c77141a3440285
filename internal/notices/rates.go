package notices

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
	"foxtailhub.example/foxtailhub/internal/pool"
)

const (
	// rateKeyPrefix begins the keys of notices of request rates; the upstream's ID follows.
	rateKeyPrefix    = "rate/"
	rateWriteTimeout = 2 * time.Second
	// rateWriteInterval is the least time between two writes about one upstream.
	rateWriteInterval = 2 * time.Second
	// rateTolerance is the factor by which a rate may differ from its notice.
	rateTolerance = 1.25
	// leastSharedRate is the rate, in requests a second, below which rates are not told
	// apart in notices.
	leastSharedRate = 0.1
	// rateWriteSpread is the time over which several instances that notice the same change
	// write it, so that mostly one does.
	rateWriteSpread = 300 * time.Millisecond
	// rateLinkDelay is the time after which a notice goes over links to the other instances
	// if it is not written to the store yet. A working store takes some ten milliseconds.
	rateLinkDelay = 50 * time.Millisecond
	// rateLinkInterval is the time after which such a notice is repeated while the store
	// fails, for instances that have restarted.
	rateLinkInterval = 10 * time.Second
	// obsoleteCheckInterval is the interval of removeObsolete, and obsoleteSpread the time
	// over which the instances remove the same notice.
	obsoleteCheckInterval = time.Minute
	obsoleteSpread        = 20 * time.Second
)

// rateRow is the value of a notice of a request rate.
type rateRow struct {
	PerSecond *float64 `json:"per_second"`
	StartedAt int64    `json:"started_at"` // of the upstream's process, in Unix milliseconds
}

// rateExchange shares the request rates that upstreams state between instances through the
// store, one row for each upstream. Without it an instance would only know a rate after its
// own first request, and a large fleet has more instances than the upstream takes requests.
type rateExchange struct {
	store        discovery.Store
	storeFailing func() bool // whether the last call to the store failed
	pool         *pool.Pool
	log          logrus.FieldLogger

	rewriter *rewriter

	hasNotices atomic.Bool // there is a row, or a notice that came over links

	mu        sync.Mutex                 // guards the fields below
	links     rateSpreader               // nil: no links
	writtenAt map[string]time.Time       // last write about each upstream
	linked    map[string]linkedRate      // by the ID of the upstream
	stored    map[string]pool.RateNotice // rows in the store, by the ID of the upstream
}

// rateSpreader sends a notice of a request rate to the other instances over links.
type rateSpreader interface {
	spread(ctx context.Context, message rateMessage)
}

// linkedRate is the last notice about an upstream that was sent or received over links
// since there was a row about it.
type linkedRate struct {
	message rateMessage
	at      time.Time
}

func newRateExchange(store discovery.Store, storeFailing func() bool, p *pool.Pool, log logrus.FieldLogger) *rateExchange {
	return &rateExchange{
		store: store, storeFailing: storeFailing, pool: p, log: log, rewriter: newRewriter(log),
		writtenAt: map[string]time.Time{}, linked: map[string]linkedRate{}, stored: map[string]pool.RateNotice{},
	}
}

// share informs the other instances of an upstream's request rate if its notice is missing,
// differs, or is obsolete because the upstream no longer states a rate.
func (e *rateExchange) share(m *pool.Member) {
	if _, limited := m.RateLimit(time.Now()); !limited && !e.hasNotices.Load() {
		return
	}
	outdated, noticed := e.isOutdated(m)
	if !outdated || !e.startWrite(m.Current().ID) {
		return
	}
	go func() {
		if noticed {
			time.Sleep(time.Duration(rand.Float64() * float64(rateWriteSpread)))
			if outdated, _ = e.isOutdated(m); !outdated {
				return
			}
		}
		e.write(m)
	}()
}

// isOutdated compares the notice about an upstream with the rate that this instance knows.
func (e *rateExchange) isOutdated(m *pool.Member) (outdated, noticed bool) {
	current := m.Current()
	limit, limited := m.RateLimit(time.Now())
	notice, noticed := e.pool.RateNotice(current.ID)
	if !limited {
		return noticed || e.isLinked(current.ID), noticed
	}
	return !noticed || notice.StartedAt != current.StartedAt || !similarRates(limit.PerSecond, notice.PerSecond), noticed
}

func (e *rateExchange) isLinked(upstreamID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	linked, ok := e.linked[upstreamID]
	return ok && !linked.message.Ended
}

func similarRates(a, b float64) bool {
	a, b = max(a, leastSharedRate), max(b, leastSharedRate)
	return max(a, b) <= rateTolerance*min(a, b)
}

// startWrite reports whether a write about an upstream may start, and records it.
func (e *rateExchange) startWrite(upstreamID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if at, written := e.writtenAt[upstreamID]; written && now.Sub(at) < rateWriteInterval {
		return false
	}
	for id, at := range e.writtenAt {
		if now.Sub(at) >= rateWriteInterval {
			delete(e.writtenAt, id)
		}
	}
	e.writtenAt[upstreamID] = now
	return true
}

// write writes or removes the notice about an upstream. If that takes long or fails, the
// notice goes over links; the next response of the upstream leads to another write.
func (e *rateExchange) write(m *pool.Member) {
	current := m.Current()
	limit, limited := m.RateLimit(time.Now())
	log := e.log.WithFields(logrus.Fields{"upstream": current.ID, "limited": limited, "per_second": limit.PerSecond})
	message := rateMessage{UpstreamID: current.ID, StartedAt: current.StartedAt, PerSecond: limit.PerSecond, Ended: !limited}
	spread := sync.OnceFunc(func() { e.spread(message) })
	delay := rateLinkDelay
	if e.storeFailing() {
		delay = 0
	}
	delayed := time.AfterFunc(delay, spread)
	ctx, cancel := context.WithTimeout(context.Background(), rateWriteTimeout)
	defer cancel()
	err := e.writeRow(ctx, message)
	if delayed.Stop() && err != nil {
		spread()
	}
	if err != nil {
		log.WithError(err).Warn("request rate could not be written to the store")
		return
	}
	log.Info("request rate shared with other instances")
}

// apply applies a changed notice.
func (e *rateExchange) apply(row discovery.Row, returned bool) {
	upstreamID := strings.TrimPrefix(row.Key, rateKeyPrefix)
	now := time.Now()
	if row.Deleted {
		e.recordEnd(upstreamID)
		if m, change := e.pool.ApplyRateEnd(now, upstreamID); change != pool.RateUnchanged {
			forward.LogRateChange(e.log, m, change, "notice")
		}
		e.updateHasNotices()
		return
	}
	var value rateRow
	if err := json.Unmarshal(row.Value, &value); err != nil || value.PerSecond == nil || *value.PerSecond < 0 {
		e.log.WithError(err).WithField("key", row.Key).Warn("invalid notice of a request rate ignored")
		return
	}
	notice := pool.RateNotice{PerSecond: *value.PerSecond, StartedAt: value.StartedAt}
	if !e.recordRow(upstreamID, notice, returned) {
		return
	}
	defer e.updateHasNotices()
	if m, change := e.pool.ApplyRateNotice(now, upstreamID, notice); change != pool.RateUnchanged {
		forward.LogRateChange(e.log, m, change, "notice")
	}
}

func (e *rateExchange) updateHasNotices() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasNotices.Store(len(e.linked) > 0 || e.pool.HasRateNotices())
}

// run removes the notices about upstreams that are gone until ctx ends.
func (e *rateExchange) run(ctx context.Context) {
	ticker := time.NewTicker(obsoleteCheckInterval)
	defer ticker.Stop()
	var before []string
	for {
		select {
		case <-ticker.C:
			before = e.removeObsolete(ctx, before)
		case <-ctx.Done():
			return
		}
	}
}

// removeObsolete removes the notices that have been obsolete since the check before, and
// returns the others that are obsolete now.
func (e *rateExchange) removeObsolete(ctx context.Context, before []string) (remaining []string) {
	e.dropOldLinked()
	known := make(map[string]bool, len(before))
	for _, id := range before {
		known[id] = true
	}
	for _, id := range e.pool.ObsoleteRateNotices() {
		if !known[id] {
			remaining = append(remaining, id)
			continue
		}
		time.AfterFunc(time.Duration(rand.Float64()*float64(obsoleteSpread)), func() {
			if _, noticed := e.pool.RateNotice(id); !noticed || ctx.Err() != nil {
				return // another instance has removed it
			}
			ctx, cancel := context.WithTimeout(ctx, rateWriteTimeout)
			defer cancel()
			err := e.store.Remove(ctx, discovery.Notices, rateKeyPrefix+id)
			e.log.WithError(err).WithField("upstream", id).Info("request rate of an upstream that is gone removed")
		})
	}
	return remaining
}
