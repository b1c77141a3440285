package discovery

import (
	"sync"
	"time"
)

// RowConsumer gets the changed rows of a topic and the time since the previous update. stored
// reports whether the store has a row; it is valid during the call only.
type RowConsumer func(changes Batch, gap time.Duration, stored func(key string) bool)

// maxSettledShare is the part of the settle time that one update counts for, however long ago the one
// before was read: the store may have been away in between.
const maxSettledShare = 1.0 / 3

// RowKeeper passes changes of a topic to its consumer. Rows that the store lacks after it has
// come back from a copy are kept for the settle time, in which their owners write them again. Only
// time in which the store is read counts. The first update after that deletes the others: an
// instance that has not read the rows since does not know which are gone.
type RowKeeper struct {
	settleTime time.Duration
	consume    RowConsumer

	mu      sync.Mutex            // guards the fields below
	asOf    time.Time             // when the store was read for the newest update
	present map[string]bool       // keys of the rows in the store
	lacking map[string]lackingRow // by key
}

// lackingRow is a row that the store has lost.
type lackingRow struct {
	deletion Row
	settled  time.Duration // part of the settle time that is over
}

// NewRowKeeper returns a keeper without rows.
func NewRowKeeper(settleTime time.Duration, consume RowConsumer) *RowKeeper {
	return &RowKeeper{settleTime: settleTime, consume: consume, present: map[string]bool{}, lacking: map[string]lackingRow{}}
}

// Apply applies changed rows.
func (k *RowKeeper) Apply(batch Batch, gap time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	settled, afterGap := k.advance(time.Now().Add(-batch.Age))
	batch.Resumed = afterGap && len(k.lacking) > 0
	rows := make([]Row, 0, len(batch.Rows))
	for _, row := range batch.Rows {
		if row.Deleted {
			delete(k.present, row.Key)
		} else {
			k.present[row.Key] = true
			delete(k.lacking, row.Key)
		}
		if row.Deleted && batch.Returned {
			k.lacking[row.Key] = lackingRow{deletion: row}
			continue
		}
		rows = append(rows, row)
	}
	for key, row := range k.lacking {
		row.settled += settled
		if batch.Returned {
			row.settled = 0
		}
		k.lacking[key] = row
		if row.settled >= k.settleTime {
			delete(k.lacking, key)
			rows = append(rows, row.deletion)
		}
	}
	batch.Rows = rows
	k.consume(batch, gap, func(key string) bool { return k.present[key] })
}

// advance records when the store was read for an update, and returns for how much of the settle time
// it counts. afterGap is whether that is less than the time since the update before. The caller
// holds mu.
func (k *RowKeeper) advance(asOf time.Time) (settled time.Duration, afterGap bool) {
	since, most := asOf.Sub(k.asOf), time.Duration(maxSettledShare*float64(k.settleTime))
	if since <= 0 {
		return 0, false
	}
	k.asOf = asOf
	return min(since, most), since > most
}
