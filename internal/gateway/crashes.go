package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
)

const (
	// crashWriteTimeout bounds the write of a crash.
	crashWriteTimeout = 2 * time.Second
	// crashSeparator joins content and upstream in the key of a row; neither has it.
	crashSeparator = "/"
)

// crashExchange shares with the other instances which requests crashed which upstreams.
// Each crash is a row of its own, so that writers do not conflict.
type crashExchange struct {
	store      discovery.Store
	quarantine *forward.Quarantine
	log        logrus.FieldLogger
}

// publish tells the other instances of a crash. Without the store each instance
// has its own evidence only.
func (c *crashExchange) publish(crash forward.Crash) {
	key := string(crash.Content) + crashSeparator + crash.Upstream
	log := c.log.WithFields(logrus.Fields{"content": crash.Content, "upstream": crash.Upstream})
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	if err := c.store.Put(ctx, discovery.Crashes, key, nil); err != nil {
		log.WithError(err).Warn("crash was not shared")
		return
	}
	log.Info("crash shared")
	time.AfterFunc(forward.QuarantineTime, func() { c.remove(key, log) })
}

func (c *crashExchange) remove(key string, log logrus.FieldLogger) {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	if err := c.store.Remove(ctx, discovery.Crashes, key); err != nil {
		log.WithError(err).Info("old crash was not removed; it counts for an instance that starts")
	}
}

// apply takes the crashes that instances have shared.
func (c *crashExchange) apply(batch discovery.Batch, _ time.Duration) {
	for _, row := range batch.Rows {
		content, upstream, ok := strings.Cut(row.Key, crashSeparator)
		if row.Deleted || !ok {
			continue
		}
		count := c.quarantine.Add(time.Now(), forward.Crash{Content: forward.Content(content), Upstream: upstream})
		c.log.WithFields(logrus.Fields{
			"content": content, "upstream": upstream, "crashes": count, "row_version": row.Version,
		}).Info("crash learned")
	}
}
