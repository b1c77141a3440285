package storesync

import (
	"bytes"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
)

// writeNeed is why an instance has to write a row of the topic Instances.
type writeNeed int

const (
	upToDate writeNeed = iota
	absent             // the row was never there, as far as this instance knows, or was removed
	lost               // the store has come back from a copy without the row
)

// heldRow is the row of another member as last read.
type heldRow struct {
	value     []byte
	writtenAt int64
	fromCopy  bool // it appeared when the store came back from a copy
}

// setListed records whether this instance is listed. The caller holds mu.
func (m *Members) setListed(listed bool) {
	if listed && !m.listed {
		m.listedAt, m.wasListed = time.Now(), !m.isLoaded
	}
	m.listed = listed
}

// applyOwnRow applies the row of this instance. The caller holds mu.
func (m *Members) applyOwnRow(row discovery.Row, returned bool) {
	member, _, err := parseMember(row.Key, row.Value)
	correct := !row.Deleted && err == nil && member == m.self
	switch {
	case correct:
		m.rowWritten()
	case returned && m.listed:
		m.loseRow()
	default:
		m.setListed(false)
		m.rowLostAt = time.Time{}
	}
}

// recordReturn notes what the store lacks of the rows of this instance after it has come back
// from a copy. The caller holds mu.
func (m *Members) recordReturn(stored func(key string) bool) {
	m.returns++
	if m.listed && !stored(m.self.rowKey()) {
		m.loseRow()
	}
	if m.secret != nil && !stored(secretKey) {
		m.secretLost = true
	}
}

// loseRow records that the store has lost the row of this instance, which counts as listed
// while the others keep it in their lists. The caller holds mu.
func (m *Members) loseRow() {
	now := time.Now()
	if m.rowLostAt.IsZero() {
		m.lostUnsettled = m.settledAt().After(now)
	}
	m.rowLostAt = now
	time.AfterFunc(ownRowSettleTime, m.giveUpRow)
}

// giveUpRow ends the time in which this instance counts as listed although the store lacks its
// row.
func (m *Members) giveUpRow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rowLostAt.IsZero() || time.Since(m.rowLostAt) < ownRowSettleTime {
		return
	}
	m.rowLostAt = time.Time{}
	m.setListed(false)
	m.notify()
}

// rowWritten records that the store has the row of this instance. The caller holds mu.
func (m *Members) rowWritten() {
	if !m.rowLostAt.IsZero() && m.lostUnsettled {
		m.listedAt, m.wasListed = time.Now(), false
	}
	m.rowLostAt = time.Time{}
	m.setListed(true)
}

// returnCount returns how often the store has come back from a copy.
func (m *Members) returnCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returns
}

// markListed records that this instance has written its row. It returns false if the store has come
// back from a copy since it had done so returns times, by which the row may be lost.
func (m *Members) markListed(returns int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.returns != returns {
		return false
	}
	m.rowWritten()
	m.notify()
	return true
}

// markSecret records the secret of the fleet in the store, which this instance may have created. It
// returns false like markListed.
func (m *Members) markSecret(secret []byte, returns int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.returns != returns {
		return false
	}
	m.applySecret(discovery.Row{Key: secretKey, Value: slices.Clone(secret)})
	m.notify()
	return true
}

// needs returns whether and why the row of this instance and the secret of the fleet have to
// be written.
func (m *Members) needs() (row, secret writeNeed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.listed:
		row = absent
	case !m.rowLostAt.IsZero():
		row = lost
	}
	switch {
	case m.secret == nil && !m.secretInvalid:
		secret = absent
	case m.secretLost:
		secret = lost
	}
	return row, secret
}

// secretMayBeHeld reports whether other instances may hold a secret that the store lacks.
func (m *Members) secretMayBeHeld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returns > 0 || len(m.members) > 1
}

// rowValue returns the row of another member as last read.
func (m *Members) rowValue(id contract.InstanceID) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[id].value
}

// reappeared returns a member whose row was removed, and appeared again unchanged when the
// store came back from a copy.
func (m *Members) reappeared(id contract.InstanceID, removed []byte) (member Member, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, found := m.rows[id]
	if !found || !row.fromCopy || !bytes.Equal(row.value, removed) {
		return Member{}, false
	}
	return m.members[id], true
}
