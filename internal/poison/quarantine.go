package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// crashLimit is how many upstreams a request may crash. Upstreams also crash for
	// other reasons: mostly one during a request, rarely two.
	crashLimit = 3
	// QuarantineDuration is how long a request that reached the limit is kept from
	// upstreams, and how long evidence counts. Callers retry within seconds.
	QuarantineDuration = time.Minute
	// maxTrackedContents bounds the memory for evidence.
	maxTrackedContents = 10_000
)

// ContentHash identifies the content of a request over all attempts of its caller.
type ContentHash string

// newContent hashes the workspace, method, URI and body of a request.
func newContent(workspace, method, uri string, body []byte) ContentHash {
	hash := sha256.New()
	for _, part := range []string{workspace, method, uri} {
		_, _ = hash.Write(append([]byte(part), 0)) // never fails
	}
	_, _ = hash.Write(body)
	return ContentHash(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Crash is the evidence that an upstream crashed while it ran a content.
type Crash struct {
	Content    ContentHash
	UpstreamID string // ID of the upstream process
}

// Quarantine keeps poison requests, which crash each upstream that runs them, away from
// further upstreams. Evidence of other instances is added by Add.
type Quarantine struct {
	mu         sync.Mutex                           // guards crashTimes
	crashTimes map[ContentHash]map[string]time.Time // crash time of each upstream
}

// NewQuarantine returns a quarantine without evidence.
func NewQuarantine() *Quarantine {
	return &Quarantine{crashTimes: map[ContentHash]map[string]time.Time{}}
}

// Add records a crash and returns how many upstreams the content has crashed.
func (q *Quarantine) Add(now time.Time, c Crash) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired(now)
	upstreams := q.crashTimes[c.Content]
	if upstreams == nil {
		if len(q.crashTimes) >= maxTrackedContents {
			return 0
		}
		upstreams = map[string]time.Time{}
		q.crashTimes[c.Content] = upstreams
	}
	upstreams[c.UpstreamID] = now
	return len(upstreams)
}

// Crashes returns the crashes of a content.
func (q *Quarantine) Crashes(content ContentHash) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashes []Crash
	for upstream := range q.crashTimes[content] {
		crashes = append(crashes, Crash{Content: content, UpstreamID: upstream})
	}
	return crashes
}

// removeExpired removes evidence older than QuarantineDuration.
func (q *Quarantine) removeExpired(now time.Time) {
	for content, upstreams := range q.crashTimes {
		for upstream, at := range upstreams {
			if now.Sub(at) >= QuarantineDuration {
				delete(upstreams, upstream)
			}
		}
		if len(upstreams) == 0 {
			delete(q.crashTimes, content)
		}
	}
}

// Clear removes the evidence against a content that an upstream has completed.
func (q *Quarantine) Clear(content ContentHash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashTimes) > 0 {
		delete(q.crashTimes, content)
	}
}

// Contains reports whether a content is quarantined.
func (q *Quarantine) Contains(now time.Time, content ContentHash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashed := 0
	for _, at := range q.crashTimes[content] {
		if now.Sub(at) < QuarantineDuration {
			crashed++
		}
	}
	return crashed >= crashLimit
}
