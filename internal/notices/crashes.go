package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
)

const (
	crashWriteTimeout = 2 * time.Second
	// crashRewriteSpread is the time over which lost rows are written again.
	crashRewriteSpread = 2 * time.Second
	// maxKnownCrashNotices bounds the memory for rows, which other programs may have written.
	maxKnownCrashNotices = 10_000
	// crashSeparator separates content and upstream in the key of a row. Neither contains it.
	crashSeparator = "/"
)

// crashExchange shares crashes of upstreams, with the content that caused them, between
// instances through the store. Each crash is a separate row, so that writers do not conflict.
type crashExchange struct {
	store      discovery.Store
	quarantine *forward.Quarantine
	log        logrus.FieldLogger
	rewriter   *rewriter

	mu  sync.Mutex           // guards the fields below
	own map[string]time.Time // rows of this instance, and when they expire
	// known has the rows that have been counted, with the time of their removal; zero: not
	// removed.
	known map[string]time.Time
}

func newCrashExchange(store discovery.Store, quarantine *forward.Quarantine, log logrus.FieldLogger) *crashExchange {
	return &crashExchange{
		store: store, quarantine: quarantine, log: log, rewriter: newRewriter(log), own: map[string]time.Time{}, known: map[string]time.Time{},
	}
}

// publish writes a crash to the store for the other instances, and removes it after
// forward.QuarantineDuration. While the store fails, each instance counts only the crashes
// that it has seen itself. A write without a response may have been performed.
func (c *crashExchange) publish(crash forward.Crash) {
	key := string(crash.Content) + crashSeparator + crash.UpstreamID
	log := c.log.WithFields(logrus.Fields{"content": crash.Content, "upstream": crash.UpstreamID})
	c.recordOwn(key)
	c.rewriter.schedule(key, forward.QuarantineDuration, func(ctx context.Context) error {
		return c.store.Remove(ctx, discovery.Notices, key)
	})
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	if err := c.store.Put(ctx, discovery.Notices, key, nil); err != nil {
		log.WithError(err).Warn("crash could not be shared with other instances")
		return
	}
	log.Info("crash shared with other instances")
}

func (c *crashExchange) recordOwn(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, expiresAt := range c.own {
		if now.Sub(expiresAt) >= removedRetention {
			delete(c.own, key)
		}
	}
	c.own[key] = now.Add(forward.QuarantineDuration)
}

// apply adds the crash in a changed row to the quarantine, unless it has been counted before: a
// copy of the store may show a row that was removed, and its writer writes a lost one again.
func (c *crashExchange) apply(row discovery.Row, returned bool) {
	content, upstream, ok := strings.Cut(row.Key, crashSeparator)
	if !ok || !c.isNew(row, returned) {
		return
	}
	count := c.quarantine.Add(time.Now(), forward.Crash{Content: forward.ContentHash(content), UpstreamID: upstream})
	c.log.WithFields(logrus.Fields{
		"content": content, "upstream": upstream, "crashes": count, "row_version": row.Version,
	}).Info("crash read from the store")
}

// isNew reports whether a row states a crash that has not been counted, and records the row.
func (c *crashExchange) isNew(row discovery.Row, returned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	removedAt, known := c.known[row.Key]
	switch {
	case row.Deleted:
		if known {
			c.known[row.Key] = now
		}
		return false
	case known && removedAt.IsZero():
		return false
	}
	if !known && len(c.known) >= maxKnownCrashNotices {
		maps.DeleteFunc(c.known, func(_ string, at time.Time) bool { return !at.IsZero() && now.Sub(at) >= removedRetention })
	}
	if known || len(c.known) < maxKnownCrashNotices {
		c.known[row.Key] = time.Time{}
		c.removeLater(row.Key)
	}
	return !known || !returned
}

// removeLater removes a row long after it has expired: its writer has probably ended.
func (c *crashExchange) removeLater(key string) {
	c.rewriter.schedule(key, foreignRowLifetime+writeDelay(foreignRowSpread), func(ctx context.Context) error {
		if !c.isPresent(key) {
			return errNotNeeded
		}
		return c.store.Remove(ctx, discovery.Notices, key)
	})
}

// isPresent reports whether a row was read and not removed.
func (c *crashExchange) isPresent(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	removedAt, known := c.known[key]
	return known && removedAt.IsZero()
}

// writeAgain writes the rows of this instance that the store has lost, and removes the expired
// ones that it shows again.
func (c *crashExchange) writeAgain(stored func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, expiresAt := range c.own {
		delay := time.Duration(rand.Float64() * float64(crashRewriteSpread))
		switch valid := now.Before(expiresAt); {
		case valid && !stored(key):
			c.rewriter.schedule(key, delay, func(ctx context.Context) error {
				if !time.Now().Before(expiresAt) {
					return errNotNeeded
				}
				return c.store.Put(ctx, discovery.Notices, key, nil)
			})
		case !valid && stored(key):
			c.rewriter.schedule(key, delay, func(ctx context.Context) error {
				return c.store.Remove(ctx, discovery.Notices, key)
			})
		}
	}
}
