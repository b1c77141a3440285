package dispatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

const (
	// retentionInterval is the mean interval between sweeps, counted over all
	// instances.
	retentionInterval = 10 * time.Minute
	// retentionMargin is added to the retention time before a record is
	// deleted. It exceeds the clock skew between instances and the longest
	// deadline, so that no instance still accepts the key.
	retentionMargin   = time.Hour
	retentionPageSize = 200
	// retentionMaxPages bounds the work of one sweep.
	retentionMaxPages = 1000
)

// keyTimePrefixes are prefixes of the key formats that contain a time. Keys of
// one format sort by time, so that the oldest records of a workspace come first.
var keyTimePrefixes = []string{"", "1", "urn:"}

// retentionSweeper deletes records whose keys are older than the retention time.
type retentionSweeper struct {
	table         platform.TableService
	batch         *batcher
	maxAge        time.Duration
	instanceCount func() int
	log           logrus.FieldLogger
}

func newRetentionSweeper(config Config, batch *batcher) *retentionSweeper {
	return &retentionSweeper{
		table:         config.Table,
		batch:         batch,
		maxAge:        config.Retention + retentionMargin,
		instanceCount: config.InstanceCount,
		log:           config.Log,
	}
}

func (r *retentionSweeper) run(ctx context.Context) {
	for {
		mean := retentionInterval * time.Duration(max(1, r.instanceCount()))
		if !sleep(ctx, mean/2+rand.N(mean)) {
			return
		}
		deleted, err := r.sweep(ctx, time.Now())
		if err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("sweep of old dispatch records ended early")
		}
		if deleted > 0 {
			r.log.WithField("records", deleted).Info("deleted old dispatch records")
		}
	}
}

// sweep deletes the expired records of each workspace that has records.
func (r *retentionSweeper) sweep(ctx context.Context, now time.Time) (deleted int, err error) {
	startAfter := ""
	pages := retentionMaxPages
	for pages > 0 {
		rows, err := r.table.List(ctx, keyPrefix, startAfter, 1)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		workspace, _, _ := strings.Cut(strings.TrimPrefix(rows[0].Key, keyPrefix), "/")
		workspacePrefix := keyPrefix + workspace + "/"
		for _, timePrefix := range keyTimePrefixes {
			n, err := r.sweepPrefix(ctx, workspacePrefix, workspacePrefix+timePrefix, now, &pages)
			deleted += n
			if err != nil {
				return deleted, err
			}
		}
		// '0' sorts directly after '/', so this skips all keys of the workspace.
		startAfter = keyPrefix + workspace + "0"
	}
	return deleted, nil
}

// sweepPrefix deletes pages of expired rows up to the first row that is not
// expired.
func (r *retentionSweeper) sweepPrefix(ctx context.Context, workspacePrefix, startAfter string, now time.Time, pages *int) (deleted int, err error) {
	for *pages > 0 {
		*pages--
		rows, err := r.table.List(ctx, workspacePrefix, startAfter, retentionPageSize)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		expired := r.expiredRows(rows, now)
		for _, row := range expired {
			if err := r.delete(ctx, row); err != nil {
				return deleted, err
			}
			deleted++
		}
		if len(expired) < len(rows) {
			return deleted, nil
		}
		startAfter = rows[len(rows)-1].Key
	}
	return deleted, nil
}

// expiredRows returns the rows before the first one that is not expired.
func (r *retentionSweeper) expiredRows(rows []platform.Row, now time.Time) []platform.Row {
	for i, row := range rows {
		key, _ := idempotencyKeyOf(row.Key)
		created, err := contract.KeyCreationTime(key)
		if err != nil || now.Sub(created) <= r.maxAge {
			return rows[:i]
		}
	}
	return rows
}

func (r *retentionSweeper) delete(ctx context.Context, row platform.Row) error {
	_, err := r.batch.commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
		Writes:     []platform.Write{{Key: row.Key}},
	})
	return err
}
