package configuration_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
)

// tableLatency makes the submissions of concurrent operators overlap.
const tableLatency = 5 * time.Millisecond

// fakeTable is an in-memory table service with faults.
type fakeTable struct {
	mu              sync.Mutex // guards all fields
	rows            map[string]platform.Row
	revision        int64
	commits         int             // of configuration versions
	rosters         []roster.Roster // applied, in order
	down            bool
	downAfterCommit bool
	loseResponses   int           // number of commits that take effect and whose response is lost
	dropCommits     int           // number of commits without effect whose response is lost
	onCommit        func()        // called once by the next commit, before it is applied
	duplicateNext   bool          // the next commit arrives twice, as a transport or proxy may resend it
	delayNext       time.Duration // the next commit returns ErrUncertain and takes effect after this time
	randomFaults    *rand.Rand    // random faults if not nil
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) set(change func(*fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTable) Read(ctx context.Context, key string) (platform.Row, error) {
	sleepLatency(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(ctx context.Context, transactions []platform.Transaction) ([]platform.CommitResult, error) {
	sleepLatency(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if writes(transactions, "configuration/head") {
		f.commits++
	}
	if f.down {
		return nil, platform.ErrUnavailable
	}
	if f.randomFaults != nil {
		f.loseResponses = f.randomFaults.IntN(2)
		f.dropCommits = f.randomFaults.IntN(2)
	}
	if f.dropCommits > 0 {
		f.dropCommits--
		return nil, platform.ErrUncertain
	}
	if delay := f.delayNext; delay > 0 {
		f.delayNext = 0
		go func() {
			time.Sleep(delay) // virtual time
			f.set(func(f *fakeTable) { f.apply(transactions) })
		}()
		return nil, platform.ErrUncertain
	}
	if f.onCommit != nil {
		f.onCommit()
		f.onCommit = nil
	}
	results := f.apply(transactions)
	if f.duplicateNext {
		f.duplicateNext = false
		results = f.apply(transactions)
	}
	f.down = f.downAfterCommit
	if f.loseResponses > 0 {
		f.loseResponses--
		return nil, platform.ErrUncertain
	}
	return results, nil
}

func (f *fakeTable) apply(transactions []platform.Transaction) []platform.CommitResult {
	var results []platform.CommitResult
	for _, t := range transactions {
		holds := !slices.ContainsFunc(t.Conditions, func(c platform.Condition) bool {
			return f.rows[c.Key].Revision != c.Revision
		})
		if holds {
			f.revision++
			for _, w := range t.Writes {
				f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
				if r, err := roster.Decode(w.Value); w.Key == roster.Key && err == nil {
					f.rosters = append(f.rosters, r)
				}
			}
		}
		results = append(results, platform.CommitResult{Applied: holds, Revision: f.revision})
	}
	return results
}

// bumpRevision gives a row a new revision, as a write by another instance does. The
// caller holds mu.
func (f *fakeTable) bumpRevision(key string) {
	f.revision++
	row := f.rows[key]
	row.Revision = f.revision
	f.rows[key] = row
}

// writes reports whether a row is written.
func writes(transactions []platform.Transaction, key string) bool {
	return slices.ContainsFunc(transactions, func(t platform.Transaction) bool {
		return slices.ContainsFunc(t.Writes, func(w platform.Write) bool { return w.Key == key })
	})
}

// sleepLatency sleeps in virtual time until the latency has passed or ctx ends.
func sleepLatency(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(tableLatency):
	}
}

// tableClient is one instance's connection to the table, which can be cut.
type tableClient struct {
	platform.TableService
	mu          sync.Mutex // guards cut
	unreachable bool
}

func (c *tableClient) setUnreachable(unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = unreachable
}

func (c *tableClient) isUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable
}

func (c *tableClient) Read(ctx context.Context, key string) (platform.Row, error) {
	if c.isUnreachable() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return c.TableService.Read(ctx, key)
}

func (c *tableClient) Commit(ctx context.Context, t []platform.Transaction) ([]platform.CommitResult, error) {
	if c.isUnreachable() {
		return nil, platform.ErrUnavailable
	}
	return c.TableService.Commit(ctx, t)
}
