package dispatch

import (
	"sync"
	"time"
)

const (
	// recentAge is how long an instance remembers the records that it has written. A table
	// service that comes back from a copy loses its last seconds.
	recentAge        = time.Minute
	maxRecentRecords = 4096
	// maxRecentBody is the longest body that is remembered, in bytes; of longer ones the
	// status is kept.
	maxRecentBody = 1 << 10
)

// recentRecords holds the records that this instance has written recently, in order to write
// them again if the table service has lost them.
type recentRecords struct {
	mu      sync.Mutex // guards the fields below
	records map[string]recentRecord
	order   []writtenKey // oldest first; a key that was written again has several entries
}

type recentRecord struct {
	record    Record
	writtenAt time.Time
}

type writtenKey struct {
	key       string
	writtenAt time.Time
}

func newRecentRecords() *recentRecords { return &recentRecords{records: map[string]recentRecord{}} }

func (r *recentRecords) put(key string, record Record, now time.Time) {
	if len(record.Body) > maxRecentBody {
		record = record.withoutBody()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[key] = recentRecord{record: record, writtenAt: now}
	r.order = append(r.order, writtenKey{key, now})
	r.dropOld(now)
}

// dropOld drops expired records, and the oldest ones if there are too many.
func (r *recentRecords) dropOld(now time.Time) {
	drop := 0
	for _, oldest := range r.order {
		if now.Sub(oldest.writtenAt) <= recentAge && len(r.order)-drop <= 2*maxRecentRecords && len(r.records) <= maxRecentRecords {
			break
		}
		drop++
		if r.records[oldest.key].writtenAt.Equal(oldest.writtenAt) {
			delete(r.records, oldest.key)
		}
	}
	r.order = r.order[drop:]
}

func (r *recentRecords) get(key string, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent, found := r.records[key]
	return recent.record, found && now.Sub(recent.writtenAt) <= recentAge
}

// all returns the records that have not expired.
func (r *recentRecords) all(now time.Time) map[string]Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(now)
	records := make(map[string]Record, len(r.records))
	for key, recent := range r.records {
		records[key] = recent.record
	}
	return records
}
