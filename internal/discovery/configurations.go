package discovery

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/route"
)

// ActiveConfiguration holds the configuration in force.
type ActiveConfiguration struct {
	current atomic.Pointer[route.Table]
	decoder Decoder
	log     logrus.FieldLogger
}

// NewActiveConfiguration returns a holder that has no configuration yet.
func NewActiveConfiguration(decoder Decoder, log logrus.FieldLogger) *ActiveConfiguration {
	return &ActiveConfiguration{decoder: decoder, log: log}
}

// Current returns the configuration in force, or nil if none has been applied yet.
func (c *ActiveConfiguration) Current() *route.Table { return c.current.Load() }

// Apply puts the newest configuration of a batch in force. Lower versions and
// configurations that cannot be decoded are ignored.
func (c *ActiveConfiguration) Apply(batch Batch, _ time.Duration) {
	for _, row := range batch.Rows {
		if row.Deleted {
			continue
		}
		document, relevant, err := c.decoder.Configuration(row)
		if err != nil {
			c.log.WithError(err).WithField("row_version", row.Version).Error("failed to decode a configuration; the previous one stays in force")
			continue
		}
		if relevant {
			c.putIfNewer(document, row.Version)
		}
	}
}

// OutdatedConfiguration returns the function that reports whether a row is an earlier version of
// the configuration than a held one, or its deletion. Both are seen after the store has returned
// from a copy, until the newest version is written again.
func OutdatedConfiguration(decoder Decoder) func(held, row Row) bool {
	return func(held, row Row) bool {
		newest, relevant, err := decoder.Configuration(held)
		if err != nil || !relevant {
			return false
		}
		if row.Deleted {
			return true
		}
		document, _, err := decoder.Configuration(row)
		return err == nil && document.Version < newest.Version
	}
}

func (c *ActiveConfiguration) putIfNewer(document route.Document, rowVersion int64) {
	old := c.current.Load()
	fields := logrus.Fields{
		"version": document.Version, "row_version": rowVersion, "routes": len(document.Routes), "services": len(document.Services), "keys": len(document.Workspaces),
	}
	if old != nil {
		fields["before"] = old.Version
	}
	if old != nil && document.Version <= old.Version {
		c.log.WithFields(fields).Debug("configuration ignored because its version is not newer")
		return
	}
	c.current.Store(route.NewTable(document))
	c.log.WithFields(fields).Info("configuration in force")
}
