package notices

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/poison"
)

const (
	crashWriteTimeout = 2 * time.Second
	// trialClaimTimeout bounds the wait of a request for the claim of a trial, and
	// trialClaimInterval is the least time between two claims of an instance.
	trialClaimTimeout  = 300 * time.Millisecond
	trialClaimInterval = 500 * time.Millisecond
	// crashRewriteSpread is the time over which lost rows are written again.
	crashRewriteSpread = 2 * time.Second
	// maxKnownCrashNotices bounds the memory for rows, which other programs may have written.
	maxKnownCrashNotices = 10_000
	// maxCrashKey bounds the key of a row.
	maxCrashKey = 200
	// crashSeparator separates content and process in the key of a row. The content does not
	// contain it.
	crashSeparator = "/"
	// requestTrialPrefix begins the keys of rows that claim the trial of a quarantined request; the
	// content and the number of the trial follow.
	requestTrialPrefix = "request-trial/"
)

// crashExchange shares crashes of upstreams, with the content that caused them, between
// instances through the store. Each crash is a separate row, so that writers do not conflict. A
// row is removed when its evidence no longer counts, and the others withdraw it then.
type crashExchange struct {
	store      discovery.Store
	quarantine *poison.Quarantine
	log        logrus.FieldLogger
	rewriter   *rewriter

	mu          sync.Mutex           // guards the fields below
	nextClaimAt time.Time            // no trial is claimed before this time
	own         map[string]time.Time // rows of this instance, and when they expire
	// known has the rows that have been counted, with the time of their removal; zero: not
	// removed.
	known map[string]time.Time
}

func newCrashExchange(store discovery.Store, quarantine *poison.Quarantine, log logrus.FieldLogger) *crashExchange {
	return &crashExchange{
		store: store, quarantine: quarantine, log: log, rewriter: newRewriter(log),
		own: map[string]time.Time{}, known: map[string]time.Time{},
	}
}

func crashKey(c poison.RequestCrash) string { return string(c.Content) + crashSeparator + c.Process }

// ShareCrash writes a crash to the store for the other instances, and removes it when it no longer
// counts. While the store fails, each instance counts only the crashes that it has seen itself. A
// write without a response may have been performed.
func (c *crashExchange) ShareCrash(crash poison.RequestCrash) {
	key := crashKey(crash)
	log := c.log.WithFields(logrus.Fields{"content": crash.Content, "process": crash.Process})
	if len(key) > maxCrashKey {
		log.Warn("crash cannot be shared: its key is too long")
		return
	}
	c.recordOwn(key, time.Now().Add(poison.QuarantineDuration))
	c.removeExpired(crash.Content, key)
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	if err := c.store.Put(ctx, discovery.Notices, key, nil); err != nil {
		log.WithError(err).Warn("crash could not be shared with other instances")
		return
	}
	log.Info("crash shared with other instances")
}

// removeExpired removes a row of this instance once its evidence no longer counts. That of a
// quarantined content stays as long as the content comes.
func (c *crashExchange) removeExpired(content poison.Content, key string) {
	c.rewriter.schedule(key, poison.QuarantineDuration, func(ctx context.Context) error {
		if !c.isOwn(key) {
			return errNotNeeded
		}
		if now := time.Now(); c.quarantine.Contains(now, content) {
			c.recordOwn(key, now.Add(poison.QuarantineDuration))
			c.removeExpired(content, key)
			return errNotNeeded
		}
		return c.store.Remove(ctx, discovery.Notices, key)
	})
}

// WithdrawCrash removes a crash from the store that turned out to be no evidence.
func (c *crashExchange) WithdrawCrash(crash poison.RequestCrash) {
	key := crashKey(crash)
	c.mu.Lock()
	_, own := c.own[key]
	removedAt, known := c.known[key]
	delete(c.own, key)
	c.mu.Unlock()
	if !own && (!known || !removedAt.IsZero()) {
		return // it was not shared
	}
	c.rewriter.schedule(key, 0, func(ctx context.Context) error {
		return c.store.Remove(ctx, discovery.Notices, key)
	})
}

// ClaimTrial reports whether this instance may send a trial of a quarantined request. Of all
// instances one gets it. A claim whose response was lost is not used.
func (c *crashExchange) ClaimTrial(ctx context.Context, content poison.Content, trial int) bool {
	if !c.mayClaim() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	key := requestTrialPrefix + string(content) + crashSeparator + strconv.Itoa(trial)
	claim := fmt.Sprintf("%016x", rand.Uint64())
	value, err := c.store.Create(ctx, discovery.Notices, key, []byte(claim))
	if err != nil {
		c.log.WithError(err).WithField("key", key).Info("trial of a quarantined request could not be claimed")
		return false
	}
	c.quarantine.RecordTrial(content, trial)
	if string(value) != claim {
		return false
	}
	c.recordOwn(key, time.Now().Add(poison.QuarantineDuration))
	c.removeExpired(content, key)
	return true
}

// mayClaim reports whether a trial may be claimed now, and records that it is.
func (c *crashExchange) mayClaim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.nextClaimAt) {
		return false
	}
	c.nextClaimAt = now.Add(trialClaimInterval)
	return true
}

func (c *crashExchange) isOwn(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, own := c.own[key]
	return own
}

func (c *crashExchange) recordOwn(key string, expiresAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, expiresAt := range c.own {
		if now.Sub(expiresAt) >= removedRetention {
			delete(c.own, key)
		}
	}
	c.own[key] = expiresAt
}

// parseNotice returns the crash or the trial that the key of a row states.
func parseNotice(key string) (crash poison.RequestCrash, trial int, isTrial, ok bool) {
	rest, isTrial := strings.CutPrefix(key, requestTrialPrefix)
	content, process, found := strings.Cut(rest, crashSeparator)
	if !found || content == "" || process == "" || len(key) > maxCrashKey {
		return crash, 0, isTrial, false
	}
	if isTrial {
		trial, err := strconv.Atoi(process)
		return poison.RequestCrash{Content: poison.Content(content)}, trial, true, err == nil && trial >= 0
	}
	if id, startedAt, named := strings.Cut(process, "@"); named {
		born, err := strconv.ParseInt(startedAt, 10, 64)
		if id == "" || err != nil || born < 1 {
			return crash, 0, false, false
		}
	}
	return poison.RequestCrash{Content: poison.Content(content), Process: process}, 0, false, true
}

// apply applies a changed row: it adds or withdraws a crash, unless that has been done before. A
// copy of the store may show a row that was removed, and its writer writes a lost one again.
func (c *crashExchange) apply(row discovery.Row, returned bool) {
	crash, trial, isTrial, ok := parseNotice(row.Key)
	if !ok {
		c.log.WithField("key", fmt.Sprintf("%.64q", row.Key)).Warn("invalid notice of a crash ignored")
		return
	}
	if isTrial {
		if row.Deleted {
			c.recordRemoval(row.Key)
		} else if c.isNew(row, returned) {
			c.quarantine.RecordTrial(crash.Content, trial)
		}
		return
	}
	fields := logrus.Fields{"content": crash.Content, "process": crash.Process, "row_version": row.Version}
	if row.Deleted {
		if c.recordRemoval(row.Key) && !returned {
			c.quarantine.Withdraw(crash)
			c.log.WithFields(fields).Info("crash withdrawn by the store")
		}
		return
	}
	if !c.isNew(row, returned) {
		return
	}
	fields["crashes"] = c.quarantine.Add(time.Now(), crash)
	c.log.WithFields(fields).Info("crash read from the store")
}

// recordRemoval records that a row was removed, and reports whether it was known.
func (c *crashExchange) recordRemoval(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	removedAt, known := c.known[key]
	if known {
		c.known[key] = time.Now()
	}
	return known && removedAt.IsZero()
}

// isNew reports whether a row states a crash that has not been counted, and records the row.
func (c *crashExchange) isNew(row discovery.Row, returned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	removedAt, known := c.known[row.Key]
	if known && removedAt.IsZero() {
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
		if crash, _, _, ok := parseNotice(key); ok && c.quarantine.Contains(time.Now(), crash.Content) {
			c.removeLater(key)
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
