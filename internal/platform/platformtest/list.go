package platformtest

import (
	"context"
	"sort"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// InstanceList is an in-memory platform.InstanceList with a configurable read lag.
type InstanceList struct {
	mu          sync.Mutex // guards the fields below
	instances   map[string]platform.ListEntry
	upstreams   map[string]platform.ListEntry
	history     []snapshot
	lag         time.Duration
	unavailable bool
}

type snapshot struct {
	at   time.Time
	list platform.List
}

// maxHistory bounds the number of snapshots kept for lagging reads.
const maxHistory = 1024

// NewInstanceList returns an empty list without lag.
func NewInstanceList() *InstanceList {
	return &InstanceList{instances: map[string]platform.ListEntry{}, upstreams: map[string]platform.ListEntry{}}
}

// SetLag sets the age of the list that List returns.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnavailable sets whether each request fails with ErrUnavailable.
func (l *InstanceList) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// SetUpstream sets the entry of an upstream.
func (l *InstanceList) SetUpstream(entry platform.ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.UpdatedAt = time.Now()
	l.upstreams[entry.ID] = entry
	l.recordSnapshot()
}

// RemoveUpstream removes the entry of an upstream.
func (l *InstanceList) RemoveUpstream(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
	l.recordSnapshot()
}

// List returns the list as of the lag before now, empty if there was none.
func (l *InstanceList) List(context.Context) (platform.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.List{}, platform.ErrUnavailable
	}
	cutoff := time.Now().Add(-l.lag)
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(cutoff) {
			return l.history[i].list, nil
		}
	}
	return platform.List{}, nil
}

// Register sets the entry of an instance.
func (l *InstanceList) Register(_ context.Context, entry platform.ListEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.ErrUnavailable
	}
	entry.UpdatedAt = time.Now()
	l.instances[entry.ID] = entry
	l.recordSnapshot()
	return nil
}

// Deregister removes the entry of an instance.
func (l *InstanceList) Deregister(_ context.Context, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return platform.ErrUnavailable
	}
	delete(l.instances, id)
	l.recordSnapshot()
	return nil
}

func (l *InstanceList) recordSnapshot() {
	list := platform.List{Instances: entries(l.instances), Upstreams: entries(l.upstreams)}
	l.history = append(l.history, snapshot{at: time.Now(), list: list})
	if len(l.history) > maxHistory {
		l.history = l.history[len(l.history)-maxHistory:]
	}
}

func entries(from map[string]platform.ListEntry) []platform.ListEntry {
	out := make([]platform.ListEntry, 0, len(from))
	for _, e := range from {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
