package dispatch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// restoreRefusal is how long calls of at most once are refused after the table service went back.
// Meanwhile the instances notice and write their recent records again.
const restoreRefusal = 3 * time.Second

// restoreGuard refuses calls after the table service went back.
type restoreGuard struct {
	mu    sync.Mutex // guards until
	until time.Time
}

// begin starts the refusal. It returns false if it is in force already.
func (g *restoreGuard) begin(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.until) {
		return false
	}
	g.until = now.Add(restoreRefusal)
	return true
}

// left returns how long calls are refused.
func (g *restoreGuard) left(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.until.Sub(now))
}

// TableWentBack handles evidence that the table service has lost acknowledged writes: the
// recent records of this instance are written again, and calls of at most once are refused
// for a while, because records of other instances may be missing.
func (d *Dispatcher) TableWentBack(evidence string) { d.records.tableWentBack(evidence) }

func (r *recordStore) tableWentBack(evidence string) {
	now := time.Now()
	if !r.guard.begin(now) {
		return
	}
	records := r.recent.all(now)
	r.log.WithFields(logrus.Fields{"evidence": evidence, "records": len(records), "refused_ms": restoreRefusal.Milliseconds()}).
		Error("table service has lost acknowledged writes; non-idempotent calls are refused and recent records written again")
	if r.onWentBack != nil {
		r.onWentBack(evidence)
	}
	for key, record := range records {
		r.reconciler.add(pendingUpdate{key: key, target: record})
	}
}

// checkLost returns the earlier record of a key if this instance wrote one that the table
// service has lost, which a claim that created the row shows. The claim then holds it again.
func (r *recordStore) checkLost(key string, c claim, record Record) claim {
	earlier, known := r.recent.get(key, time.Now())
	if !known || earlier.State == Released {
		r.recent.put(key, record, time.Now())
		return c
	}
	earlier.Writer = record.Writer // of the row that the claim has created
	r.recent.put(key, earlier, time.Now())
	if earlier.State != Dispatched {
		r.reconciler.add(pendingUpdate{key: key, target: earlier, expected: c.revision})
	}
	r.tableWentBack("dispatch_record")
	return claim{existing: &earlier}
}
