package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashLimit is how many upstream processes a request may crash. Processes also crash for
	// other reasons: mostly one during a request, rarely two.
	CrashLimit = 3
	// QuarantineDuration is how long a crash counts against a request that has not reached
	// CrashLimit. Callers retry within seconds.
	QuarantineDuration = time.Minute
	// QuarantineIdle is how long a request that has reached CrashLimit is kept from upstreams
	// after it came last.
	QuarantineIdle = time.Hour
	// maxTrackedContents bounds the memory for evidence, and maxTrackedProcesses that for one
	// request.
	maxTrackedContents  = 10_000
	maxTrackedProcesses = 16
)

// requestTrialDelays are the times after a request was quarantined from which on one attempt of it
// is sent as a trial, which shows whether the quarantine is wrong. A request that crashes upstreams
// may reach them three times more; the trials use two of these.
var requestTrialDelays = [...]time.Duration{QuarantineDuration, 10 * time.Minute}

// Content identifies the content of a request over all attempts of its caller.
type Content string

// NewContent hashes the workspace, method, URI and body of a request.
func NewContent(workspace, method, uri string, body []byte) Content {
	hash := sha256.New()
	for _, part := range []string{workspace, method, uri} {
		_, _ = hash.Write(append([]byte(part), 0)) // never fails
	}
	_, _ = hash.Write(body)
	return Content(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// RequestCrash is the evidence that a process of an upstream was lost while it ran a request.
type RequestCrash struct {
	Content Content
	Process string // see ProcessName
}

// contentRecord is the evidence against one content.
type contentRecord struct {
	crashedAt     map[string]time.Time // by process
	quarantinedAt time.Time            // zero: it is not quarantined
	askedAt       time.Time            // when it came last
	trials        int                  // number of trials that instances have claimed
}

// Quarantine keeps requests that crash each upstream that runs them away from further upstreams.
// Evidence of other instances is added by Add. Its methods may be called concurrently; requests
// take no lock while there is no evidence.
type Quarantine struct {
	parts *Ledger // explains crashes by parts of prompts; nil: it explains none
	size  atomic.Int64

	mu        sync.Mutex // guards the fields below
	contents  map[Content]*contentRecord
	cleanedAt time.Time // of the last removal of all expired evidence
}

// NewQuarantine returns a quarantine without evidence. Crashes that the verdicts of parts explain
// do not count against other requests that ran on the same process; nil: none are explained.
func NewQuarantine(parts *Ledger) *Quarantine {
	return &Quarantine{parts: parts, contents: map[Content]*contentRecord{}}
}

// Add records a crash and returns how many processes the content has crashed. A crash that is
// known counts once.
func (q *Quarantine) Add(now time.Time, c RequestCrash) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeExpired(now)
	record := q.unexpired(now, c.Content)
	if record == nil {
		if len(q.contents) >= maxTrackedContents {
			return 0
		}
		record = &contentRecord{crashedAt: map[string]time.Time{}, askedAt: now}
		q.contents[c.Content] = record
	}
	if _, known := record.crashedAt[c.Process]; known || len(record.crashedAt) < maxTrackedProcesses {
		record.crashedAt[c.Process] = now
	}
	if len(record.crashedAt) >= CrashLimit && record.quarantinedAt.IsZero() {
		record.quarantinedAt = now
	}
	q.size.Store(int64(len(q.contents)))
	return len(record.crashedAt)
}

// Withdraw removes a crash: the process lives, or its whole failure domain was lost.
func (q *Quarantine) Withdraw(c RequestCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.contents[c.Content]
	if record == nil {
		return
	}
	delete(record.crashedAt, c.Process)
	if len(record.crashedAt) < CrashLimit {
		record.quarantinedAt = time.Time{}
	}
	q.removeIfEmpty(c.Content, record)
}

func (q *Quarantine) removeIfEmpty(content Content, record *contentRecord) {
	if len(record.crashedAt) == 0 {
		delete(q.contents, content)
		q.size.Store(int64(len(q.contents)))
	}
}

// Crashes returns the crashes of a content.
func (q *Quarantine) Crashes(content Content) []RequestCrash {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashes(content)
}

func (q *Quarantine) crashes(content Content) (crashes []RequestCrash) {
	record := q.contents[content]
	if record == nil {
		return nil
	}
	for process := range record.crashedAt {
		crashes = append(crashes, RequestCrash{Content: content, Process: process})
	}
	return crashes
}

// removeExpired removes evidence that no longer counts. The caller holds mu.
func (q *Quarantine) removeExpired(now time.Time) {
	if now.Sub(q.cleanedAt) < cleaningInterval {
		return
	}
	q.cleanedAt = now
	for content := range q.contents {
		q.unexpired(now, content)
	}
}

// unexpired returns the evidence against a content that still counts, nil if there is none. The
// caller holds mu.
func (q *Quarantine) unexpired(now time.Time, content Content) *contentRecord {
	record := q.contents[content]
	switch {
	case record == nil:
		return nil
	case record.quarantinedAt.IsZero():
		for process, at := range record.crashedAt {
			if now.Sub(at) >= QuarantineDuration {
				delete(record.crashedAt, process)
			}
		}
	case now.Sub(record.askedAt) >= QuarantineIdle:
		clear(record.crashedAt)
	}
	q.removeIfEmpty(content, record)
	return q.contents[content]
}

// Clear removes the evidence against a content that an upstream has completed, and returns it.
func (q *Quarantine) Clear(content Content) []RequestCrash {
	if q.size.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes := q.crashes(content)
	delete(q.contents, content)
	q.size.Store(int64(len(q.contents)))
	return crashes
}

// Contains reports whether a content is quarantined.
func (q *Quarantine) Contains(now time.Time, content Content) bool {
	if q.size.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.contains(now, content)
}

func (q *Quarantine) contains(now time.Time, content Content) bool {
	record := q.unexpired(now, content)
	if record == nil || record.quarantinedAt.IsZero() {
		return false
	}
	for process := range record.crashedAt {
		if q.explained(content, record, process) {
			delete(record.crashedAt, process)
		}
	}
	if len(record.crashedAt) >= CrashLimit {
		return true
	}
	record.quarantinedAt = time.Time{}
	q.removeIfEmpty(content, record)
	return false
}

// explained reports whether a crash is due to parts of a prompt, or to another request that has
// crashed more processes. The caller holds mu.
func (q *Quarantine) explained(content Content, record *contentRecord, process string) bool {
	if q.parts != nil && q.parts.Explains(process) {
		return true
	}
	for other, o := range q.contents {
		_, ran := o.crashedAt[process]
		if ran && other != content && !o.quarantinedAt.IsZero() && len(o.crashedAt) > len(record.crashedAt) {
			return true
		}
	}
	return false
}

// Admission is the decision on an attempt of a caller.
type Admission struct {
	Refused bool
	// TrialDue means that the attempt may be sent in spite of the quarantine by the instance that
	// claims the trial with the number Trial.
	TrialDue bool
	Trial    int
}

// Admit decides whether a content that a caller sends may reach an upstream. A quarantine lasts as
// long as its content comes.
func (q *Quarantine) Admit(now time.Time, content Content) Admission {
	if q.size.Load() == 0 {
		return Admission{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.contains(now, content) {
		return Admission{}
	}
	record := q.contents[content]
	record.askedAt = now
	n := record.trials
	due := n < len(requestTrialDelays) && now.Sub(record.quarantinedAt) >= requestTrialDelays[n]
	return Admission{Refused: true, TrialDue: due, Trial: n}
}

// RecordTrial records that an instance has claimed a trial, so that it is not due again.
func (q *Quarantine) RecordTrial(content Content, trial int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if record := q.contents[content]; record != nil && trial >= 0 {
		record.trials = max(record.trials, min(trial, len(requestTrialDelays))+1)
	}
}
