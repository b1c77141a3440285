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
	// retentionInterval is the mean time between two sweeps over all instances.
	retentionInterval = 10 * time.Minute
	// retentionMargin is added to the retention time before a record is
	// deleted. It exceeds the difference of the instances' clocks and the
	// longest deadline, so that no instance still accepts the key.
	retentionMargin = time.Hour
	retentionPage   = 200
	// retentionMaxPages bounds the work of one sweep.
	retentionMaxPages = 1000
)

// keyForms are beginnings of key forms that carry a time. Within a form, keys
// sort by their time, so that old records of a workspace come first.
var keyForms = []string{"", "1", "urn:"}

// retention deletes records whose keys are past the retention time.
type retention struct {
	table     platform.TableService
	batch     *batcher
	keep      time.Duration
	instances func() int
	log       logrus.FieldLogger
}

func newRetention(config Config, batch *batcher) *retention {
	return &retention{
		table:     config.Table,
		batch:     batch,
		keep:      config.Retention + retentionMargin,
		instances: config.Instances,
		log:       config.Log,
	}
}

func (r *retention) run(ctx context.Context) {
	for {
		mean := retentionInterval * time.Duration(max(1, r.instances()))
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

// sweep deletes old records of each workspace that has records.
func (r *retention) sweep(ctx context.Context, now time.Time) (deleted int, err error) {
	after := ""
	pages := retentionMaxPages
	for pages > 0 {
		rows, err := r.table.List(ctx, keyPrefix, after, 1)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(rows[0].Key, keyPrefix), "/")
		space := keyPrefix + name + "/"
		for _, form := range keyForms {
			n, err := r.sweepForm(ctx, space, space+form, now, &pages)
			deleted += n
			if err != nil {
				return deleted, err
			}
		}
		// '0' follows '/': the list continues after all keys of the workspace.
		after = keyPrefix + name + "0"
	}
	return deleted, nil
}

// sweepForm deletes pages of old rows until it meets one that is not old.
func (r *retention) sweepForm(ctx context.Context, space, after string, now time.Time, pages *int) (deleted int, err error) {
	for *pages > 0 {
		*pages--
		rows, err := r.table.List(ctx, space, after, retentionPage)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		old := r.oldRows(rows, now)
		for _, row := range old {
			if err := r.delete(ctx, row); err != nil {
				return deleted, err
			}
			deleted++
		}
		if len(old) < len(rows) {
			return deleted, nil
		}
		after = rows[len(rows)-1].Key
	}
	return deleted, nil
}

// oldRows returns the rows before the first one that is not old.
func (r *retention) oldRows(rows []platform.Row, now time.Time) []platform.Row {
	for i, row := range rows {
		key, _ := idempotencyKeyOf(row.Key)
		created, err := contract.KeyTime(key)
		if err != nil || now.Sub(created) <= r.keep {
			return rows[:i]
		}
	}
	return rows
}

func (r *retention) delete(ctx context.Context, row platform.Row) error {
	_, err := r.batch.commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
		Writes:     []platform.Write{{Key: row.Key}},
	})
	return err
}
