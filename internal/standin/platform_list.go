package standin

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// maxLag bounds the history of entries. A longer lag_ms is reduced to it.
const maxLag = time.Minute

// entryKind distinguishes instances and upstreams in the list.
type entryKind string

const (
	kindInstance entryKind = "instance"
	kindUpstream entryKind = "upstream"
)

type entryKey struct {
	kind entryKind
	id   string
}

// entryVersion is the state of an entry from a time on; a nil entry is a removal.
type entryVersion struct {
	since time.Time
	entry *platform.ListEntry
}

// memberList is the instance list in memory. It keeps past versions of its
// entries, so that it can return the list as of an earlier time.
type memberList struct {
	ttl     time.Duration
	mu      sync.Mutex // guards history
	history map[entryKey][]entryVersion
}

func newMemberList(ttl time.Duration) *memberList {
	return &memberList{ttl: ttl, history: map[entryKey][]entryVersion{}}
}

func (l *memberList) set(key entryKey, entry *platform.ListEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	versions := append(l.history[key], entryVersion{since: now, entry: entry})
	// Keep one version older than maxLag: it is current at the longest lag.
	for len(versions) > 1 && now.Sub(versions[1].since) > maxLag {
		versions = versions[1:]
	}
	l.history[key] = versions
}

// at returns the list as of the time lag before now.
func (l *memberList) at(now time.Time, lag time.Duration) platform.List {
	asOf := now.Add(-min(lag, maxLag))
	l.mu.Lock()
	defer l.mu.Unlock()
	result := platform.List{Instances: []platform.ListEntry{}, Upstreams: []platform.ListEntry{}}
	keys := slices.SortedFunc(maps.Keys(l.history), func(a, b entryKey) int {
		return cmp.Compare(a.id, b.id)
	})
	for _, key := range keys {
		entry := entryAt(l.history[key], asOf)
		switch {
		case entry == nil:
		case key.kind == kindUpstream:
			result.Upstreams = append(result.Upstreams, *entry)
		case asOf.Sub(entry.UpdatedAt) <= l.ttl:
			result.Instances = append(result.Instances, *entry)
		}
	}
	return result
}

func entryAt(versions []entryVersion, asOf time.Time) *platform.ListEntry {
	for _, v := range slices.Backward(versions) {
		if !v.since.After(asOf) {
			return v.entry
		}
	}
	return nil
}

func (l *memberList) servePut(kind entryKind) operation {
	return func(r *http.Request, body []byte) response {
		var entry platform.ListEntry
		if err := json.Unmarshal(body, &entry); err != nil {
			return response{status: http.StatusBadRequest}
		}
		entry.ID = r.PathValue("id")
		entry.UpdatedAt = time.Now()
		l.set(entryKey{kind, entry.ID}, &entry)
		return response{status: http.StatusNoContent}
	}
}

func (l *memberList) serveDelete(kind entryKind) operation {
	return func(r *http.Request, _ []byte) response {
		l.set(entryKey{kind, r.PathValue("id")}, nil)
		return response{status: http.StatusNoContent}
	}
}
