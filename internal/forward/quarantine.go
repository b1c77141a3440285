package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// crashLimit is how many upstreams a request may crash. Upstreams also crash by
	// themselves, and mostly one of a request, rarely two.
	crashLimit = 3
	// QuarantineTime is how long a request that reached the limit is kept from
	// upstreams, and how long evidence counts. Its caller sends it again within seconds.
	QuarantineTime = time.Minute
	// maxSuspects bounds the memory of the evidence.
	maxTrackedContents = 10_000
)

// Content identifies what is asked for, over all attempts of its caller.
type Content string

// newContent returns the content of a request.
func newContent(workspace, method, uri string, body []byte) Content {
	hash := sha256.New()
	for _, part := range []string{workspace, method, uri} {
		_, _ = hash.Write(append([]byte(part), 0)) // never fails
	}
	_, _ = hash.Write(body)
	return Content(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Crash is the evidence that an upstream crashed while it ran a content.
type Crash struct {
	Content  Content
	Upstream string // ID of the process
}

// Quarantine keeps requests away from upstreams that crash whenever they run
// them. The evidence of other instances is added by Add.
type Quarantine struct {
	mu         sync.Mutex                       // guards suspects
	crashTimes map[Content]map[string]time.Time // when each upstream crashed
}

// NewQuarantine returns a quarantine without evidence.
func NewQuarantine() *Quarantine { return &Quarantine{crashTimes: map[Content]map[string]time.Time{}} }

// Add notes a crash and returns how many upstreams the content has crashed.
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
	upstreams[c.Upstream] = now
	return len(upstreams)
}

// Evidence returns the crashes of a content.
func (q *Quarantine) Evidence(content Content) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashes []Crash
	for upstream := range q.crashTimes[content] {
		crashes = append(crashes, Crash{Content: content, Upstream: upstream})
	}
	return crashes
}

// expire forgets old evidence.
func (q *Quarantine) removeExpired(now time.Time) {
	for content, upstreams := range q.crashTimes {
		for upstream, at := range upstreams {
			if now.Sub(at) >= QuarantineTime {
				delete(upstreams, upstream)
			}
		}
		if len(upstreams) == 0 {
			delete(q.crashTimes, content)
		}
	}
}

// Clear forgets the evidence against a content that an upstream has completed.
func (q *Quarantine) Clear(content Content) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashTimes) > 0 {
		delete(q.crashTimes, content)
	}
}

// Holds reports whether a content is kept away from upstreams.
func (q *Quarantine) Holds(now time.Time, content Content) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashed := 0
	for _, at := range q.crashTimes[content] {
		if now.Sub(at) < QuarantineTime {
			crashed++
		}
	}
	return crashed >= crashLimit
}
