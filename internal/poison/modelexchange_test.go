package poison

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// restart empties an instance. It reads the rows of the store before it serves: successes, verdicts,
// then crashes.
func (m *model) restart(i *modelInstance) {
	for run := range i.runs {
		m.end(run)
	}
	i.ledger, i.runs, i.seen = NewLedger(), map[*modelRun]bool{}, map[string]time.Time{}
	i.started++
	for _, part := range slices.Sorted(maps.Keys(m.successRows)) {
		i.ledger.AddSuccess(m.now, m.successRows[part], []Part{part})
	}
	for _, id := range slices.Sorted(maps.Keys(m.rows)) {
		i.ledger.Adopt(m.now, m.rows[id])
	}
	for _, crash := range m.crashRows {
		m.shareVerdicts(i, i.ledger.AddCrash(m.now, crash))
	}
	m.noticeVerdicts(i)
}

// notify runs a function for each other instance with the delay of a notice.
func (m *model) notify(from *modelInstance, apply func(*modelInstance)) {
	for _, i := range m.instances {
		if i == from {
			continue
		}
		delay := m.uniform(20*time.Millisecond, m.noticeDelay)
		for range 2 {
			if m.random.Float64() < m.lossShare {
				delay += modelRepeat
			}
		}
		restarts := i.started
		m.after(delay, func() {
			if i.started == restarts {
				apply(i)
				m.verdictsChanged(i)
			}
		})
	}
}

func (m *model) shareCrash(i *modelInstance, crash Crash) {
	m.shareVerdicts(i, i.ledger.AddCrash(m.now, crash))
	m.crashRows = append(m.crashRows, crash)
	age := m.now.Sub(crash.At)
	var suspects []Part
	for _, p := range crash.Prompts {
		suspects = append(suspects, p...)
	}
	m.notify(i, func(other *modelInstance) {
		received := crash
		received.At = m.now.Add(-age)
		m.shareVerdicts(other, other.ledger.AddCrash(m.now, received))
		if good := other.ledger.KnownGood(m.now, suspects); len(good) > 0 && m.random.IntN(len(m.instances)) < 3 {
			m.shareSuccesses(other, good)
		}
	})
	if good := i.ledger.KnownGood(m.now, suspects); len(good) > 0 {
		m.shareSuccesses(i, good)
	}
}

func (m *model) shareSuccesses(i *modelInstance, good map[Part]time.Time) {
	sent := m.now
	for part, at := range good {
		if at.After(m.successRows[part]) {
			m.successRows[part] = at
		}
	}
	m.notify(i, func(other *modelInstance) {
		for _, part := range slices.Sorted(maps.Keys(good)) {
			_, lifted := other.ledger.AddSuccess(m.now, m.now.Add(-sent.Sub(good[part])), []Part{part})
			m.removeRows(other, lifted)
		}
	})
}

func (m *model) succeed(i *modelInstance, p Prompt) {
	contradicted, lifted := i.ledger.AddSuccess(m.now, m.now, p)
	m.removeRows(i, lifted)
	if len(contradicted) > 0 {
		good := map[Part]time.Time{}
		for _, part := range contradicted {
			good[part] = m.now
		}
		m.shareSuccesses(i, good)
	}
}

// shareVerdicts makes new verdicts of an instance known, unless another instance has done so.
func (m *model) shareVerdicts(i *modelInstance, verdicts []Verdict) {
	for _, v := range verdicts {
		if _, exists := m.rows[v.ID()]; !exists {
			m.log("instance %d: verdict %s", i.id, m.names(v))
			m.rows[v.ID()] = v
			m.verdicts++
			m.notify(i, func(other *modelInstance) { other.ledger.Adopt(m.now, v) })
		}
	}
	m.verdictsChanged(i)
}

// removeRows lifts verdicts everywhere.
func (m *model) removeRows(i *modelInstance, lifted []Verdict) {
	if len(lifted) == 0 {
		return
	}
	m.shareVerdicts(i, i.ledger.Replacements(lifted))
	for _, v := range lifted {
		id := v.ID()
		if _, exists := m.rows[id]; exists {
			m.log("instance %d: lifted %s", i.id, m.names(v))
			delete(m.rows, id)
			m.notify(i, func(other *modelInstance) { other.ledger.Lift(m.now, id) })
		}
	}
}

// verdictsChanged ends the runs that a new verdict refuses and that have no event.
func (m *model) verdictsChanged(i *modelInstance) {
	if !m.noticeVerdicts(i) {
		return
	}
	for _, run := range m.sortedRuns(i.runs) {
		if _, refused := i.ledger.Refuses(run.request.prompt); refused && run.first.IsZero() && !run.request.trial {
			m.end(run)
			run.request.refused = true
		}
	}
}

// noticeVerdicts updates the time since when an instance knows its verdicts, and reports
// whether they have changed.
func (m *model) noticeVerdicts(i *modelInstance) bool {
	seen, changed := map[string]time.Time{}, false
	for _, v := range i.ledger.Verdicts() {
		id := v.ID()
		if known, ok := i.seen[id]; ok {
			seen[id] = known
		} else {
			seen[id], changed = m.now, true
		}
	}
	changed = changed || len(seen) != len(i.seen)
	i.seen = seen
	return changed
}

// claimTrial reports whether a request may be sent although a verdict refuses it.
func (m *model) claimTrial(i *modelInstance, v Verdict) bool {
	for n, delay := range []time.Duration{modelTrialDelay, modelSecond} {
		id := fmt.Sprint(v.ID(), "/", n)
		if !m.trials[id] && m.now.Sub(i.seen[v.ID()]) >= delay {
			m.trials[id] = true
			m.log("instance %d: trial of %s", i.id, m.names(v))
			return true
		}
	}
	return false
}

// names returns the IDs of the parts of a verdict.
func (m *model) names(v Verdict) []string {
	var names []string
	for _, part := range v.Parts {
		name := part.String()
		for id := range m.partIDs {
			if m.partIDs[id] == part {
				name = id
			}
		}
		names = append(names, name)
	}
	return names
}
