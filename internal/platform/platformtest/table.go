package platformtest

import (
	"context"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// Faults configures the faults that a TableService injects. The zero value injects none.
// Rates are fractions of requests, from 0 to 1.
type Faults struct {
	Unavailable      bool          // each request fails with ErrUnavailable and has no effect
	UnavailableRate  float64       // fraction of requests that fail in this way
	LoseResponseRate float64       // fraction of commits that take effect and return ErrUncertain
	LoseRequestRate  float64       // fraction of commits that have no effect and return ErrUncertain
	DelayRate        float64       // fraction of commits that return ErrUncertain and take effect later
	MaxDelay         time.Duration // upper bound of the random delay until such a commit takes effect
	MaxLatency       time.Duration // upper bound of the random latency of each request
}

// Operation is the kind of a request to a TableService.
type Operation string

// The operations.
const (
	OperationRead   Operation = "read"
	OperationList   Operation = "list"
	OperationCommit Operation = "commit"
)

// TableService is an in-memory platform.TableService. Its seed determines the random
// faults.
type TableService struct {
	mu       sync.Mutex // guards all fields below
	rows     map[string]platform.Row
	revision int64
	faults   Faults
	random   *rand.Rand
	commits  int
	hook     func(op Operation, after bool)
}

// NewTableService returns an empty table without faults.
func NewTableService() *TableService { return NewSeededTableService(1) }

// NewSeededTableService returns an empty table without faults and sets the seed.
func NewSeededTableService(seed uint64) *TableService {
	return &TableService{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the injected faults.
func (t *TableService) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetHook sets a function that is called before each operation and after its effect,
// without a lock held. It may block to pause the caller.
func (t *TableService) SetHook(hook func(op Operation, after bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = hook
}

// Rows returns all rows, sorted by key.
func (t *TableService) Rows() []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted("", "", len(t.rows))
}

// Copy is the state of a TableService at one moment.
type Copy struct {
	rows     map[string]platform.Row
	revision int64
}

// Copy returns a copy of the table.
func (t *TableService) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{rows: maps.Clone(t.rows), revision: t.revision}
}

// Restore replaces the table by a copy. What was written since is lost, and its revisions are given
// out again.
func (t *TableService) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.revision = maps.Clone(c.rows), c.revision
}

// CommitCount returns the number of commit requests so far.
func (t *TableService) CommitCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// requestFaults are the faults drawn for one request.
type requestFaults struct {
	unavailable  bool
	requestLost  bool // no effect, no response
	responseLost bool // effect, but no response
	applyDelay   time.Duration
	latency      time.Duration
}

func (t *TableService) drawFaults() requestFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	out := requestFaults{unavailable: f.Unavailable || t.chance(f.UnavailableRate)}
	if f.MaxLatency > 0 {
		out.latency = time.Duration(t.random.Int64N(int64(f.MaxLatency)))
	}
	switch {
	case t.chance(f.LoseResponseRate):
		out.responseLost = true
	case t.chance(f.LoseRequestRate):
		out.requestLost = true
	case t.chance(f.DelayRate) && f.MaxDelay > 0:
		out.applyDelay = 1 + time.Duration(t.random.Int64N(int64(f.MaxDelay)))
	}
	return out
}

func (t *TableService) chance(rate float64) bool { return rate > 0 && t.random.Float64() < rate }

func (t *TableService) callHook(op Operation, after bool) {
	t.mu.Lock()
	hook := t.hook
	t.mu.Unlock()
	if hook != nil {
		hook(op, after)
	}
}

// minTimer is the shortest timer that a fake starts. A timer of zero in a synctest
// bubble runs immediately on the thread that creates it; with the race detector of
// Go 1.26.8, many such timers at a time crash inside ThreadSanitizer.
const minTimer = time.Microsecond

// wait sleeps for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Read returns a row.
func (t *TableService) Read(ctx context.Context, key string) (platform.Row, error) {
	t.callHook(OperationRead, false)
	f := t.drawFaults()
	if !wait(ctx, f.latency) || f.unavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	t.mu.Lock()
	row, ok := t.rows[key]
	t.mu.Unlock()
	t.callHook(OperationRead, true)
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// List returns up to limit rows that have the prefix and follow the key after.
func (t *TableService) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.callHook(OperationList, false)
	f := t.drawFaults()
	if !wait(ctx, f.latency) || f.unavailable {
		return nil, platform.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted(prefix, after, limit), nil
}

func (t *TableService) sorted(prefix, after string, limit int) []platform.Row {
	out := []platform.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))]
}

// Commit applies independent transactions.
func (t *TableService) Commit(ctx context.Context, transactions []platform.Transaction) ([]platform.CommitResult, error) {
	t.callHook(OperationCommit, false)
	f := t.drawFaults()
	t.mu.Lock()
	t.commits++
	t.mu.Unlock()
	if f.unavailable {
		return nil, platform.ErrUnavailable
	}
	if f.requestLost {
		wait(ctx, f.latency)
		return nil, platform.ErrUncertain
	}
	if f.applyDelay > 0 {
		time.AfterFunc(f.latency+f.applyDelay, func() { t.apply(transactions) })
		wait(ctx, f.latency)
		return nil, platform.ErrUncertain
	}
	if !wait(ctx, f.latency) {
		// The request was already sent and takes effect although the caller has
		// timed out. The timer must not be zero: see minTimer.
		time.AfterFunc(max(f.latency, minTimer), func() { t.apply(transactions) })
		return nil, platform.ErrUncertain
	}
	results := t.apply(transactions)
	t.callHook(OperationCommit, true)
	if f.responseLost {
		return nil, platform.ErrUncertain
	}
	return results, nil
}

func (t *TableService) apply(transactions []platform.Transaction) []platform.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]platform.CommitResult, len(transactions))
	for i, tx := range transactions {
		if !t.conditionsHold(tx.Conditions) {
			continue
		}
		t.revision++
		results[i] = platform.CommitResult{Applied: true, Revision: t.revision}
		for _, w := range tx.Writes {
			t.write(w)
		}
	}
	return results
}

func (t *TableService) conditionsHold(conditions []platform.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

func (t *TableService) write(w platform.Write) {
	if w.Value == nil {
		delete(t.rows, w.Key)
		return
	}
	value := append([]byte{}, w.Value...)
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: value, Revision: t.revision}
}
