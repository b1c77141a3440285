package upstream

import (
	"cmp"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// Status is the state of one upstream as shown to operators.
type Status struct {
	ID            contract.UpstreamID      `json:"id"`
	Kind          configuration.Kind       `json:"kind"`
	Address       string                   `json:"address"`
	FailureDomain contract.FailureDomainID `json:"failure_domain"`
	State         State                    `json:"state"`
	Suspected     bool                     `json:"doubted,omitempty"` // tag is part of the API; see Health.Suspected
	Incarnation   Incarnation              `json:"incarnation,omitempty"`
	Slots         int                      `json:"slots"`
	Running       int                      `json:"running"` // from the newest load report
	Queued        int                      `json:"queued"`
	ReportedAt    time.Time                `json:"reported_at,omitzero"`
	InFlight      int64                    `json:"in_flight"` // of this instance
	Models        []ModelPin               `json:"models,omitempty"`
	Watched       bool                     `json:"watched"` // this instance polls it on behalf of all
}

// Status returns the state of all upstreams, sorted by identifier.
func (u *Upstreams) Status() []Status {
	now, snapshot := u.config.Now(), u.current()
	selector := newWatcherSelector(sortedMembers(u.config.Instances(), u.config.Self))
	all := make([]Status, 0, len(snapshot.entries))
	for id, known := range snapshot.entries {
		all = append(all, Status{
			ID:            id,
			Kind:          known.kind,
			Address:       known.target.Address,
			FailureDomain: known.target.FailureDomain,
			State:         known.health.State(now),
			Suspected:     known.health.Suspected(),
			Incarnation:   known.health.Incarnation,
			Slots:         known.slots,
			Running:       known.load.running,
			Queued:        known.load.queued,
			ReportedAt:    known.load.at,
			InFlight:      known.usage.inFlight.Load(),
			Models:        slices.Clone(known.served.models),
			Watched:       slices.Contains(selector.watchers(id), u.config.Self.ID),
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// SuspectContent is the status of one content that crashed upstreams, as shown to
// operators.
type SuspectContent struct {
	Content ContentKey
	Status  ContentStatus
}

// SuspectContents returns the contents with crashes that count against them, sorted by
// content.
func (u *Upstreams) SuspectContents() []SuspectContent {
	now := u.config.Now()
	var all []SuspectContent
	for content, assessment := range u.current().assessments {
		if status := assessment.StatusAt(now); status.Crashes > 0 || status.Quarantined {
			all = append(all, SuspectContent{Content: content, Status: status})
		}
	}
	slices.SortFunc(all, func(a, b SuspectContent) int { return compareContents(a.Content, b.Content) })
	return all
}

// QuarantinedContents returns how many contents are quarantined now.
func (u *Upstreams) QuarantinedContents() int {
	now, count := u.config.Now(), 0
	for _, assessment := range u.current().assessments {
		if assessment.StatusAt(now).Quarantined {
			count++
		}
	}
	return count
}
