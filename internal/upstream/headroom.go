package upstream

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// LiveSlots are the slots of a live upstream of a service.
type LiveSlots struct {
	FailureDomain contract.FailureDomainID
	Slots         int
}

// SlotsForNewGenerations returns the number of slots into which new generations are
// admitted: those that remain after the loss of the upstream or failure domain
// with the most slots. If all are in one failure domain, none would remain, and
// the headroom covers the loss of one upstream instead; with a single upstream
// there is no headroom.
func SlotsForNewGenerations(live []LiveSlots, headroom configuration.LossHeadroom) int {
	all, largestUpstream, largestDomain := 0, 0, 0
	domains := make(map[contract.FailureDomainID]int)
	for _, l := range live {
		all += l.Slots
		domains[l.FailureDomain] += l.Slots
		largestUpstream = max(largestUpstream, l.Slots)
		largestDomain = max(largestDomain, domains[l.FailureDomain])
	}
	switch {
	case headroom == configuration.HeadroomFailureDomain && len(domains) > 1:
		return all - largestDomain
	case headroom != configuration.HeadroomNone && headroom != "" && len(live) > 1:
		return all - largestUpstream
	default:
		return all
	}
}

// liveSlots returns the slots of the live upstreams of a service that serve its
// configured model.
func (s *Snapshot) liveSlots(service contract.ServiceID, now time.Time) []LiveSlots {
	ids := s.config.Document.Services[service].Upstreams
	pin := s.configuredPin(service)
	live := make([]LiveSlots, 0, len(ids))
	for _, id := range ids {
		known := s.entries[id]
		if known != nil && known.health.State(now) == StateLive && known.serves(pin, pin) {
			live = append(live, LiveSlots{FailureDomain: known.target.FailureDomain, Slots: known.slots})
		}
	}
	return live
}

// CapacityForNewGenerations returns this instance's share of the slots into which new
// generations of a service are admitted. Unlike Capacity it is rounded down, so
// that the shares of all instances leave the headroom free, but a share is at
// least one slot.
func (u *Upstreams) CapacityForNewGenerations(service contract.ServiceID) int {
	snapshot := u.current()
	headroom := snapshot.config.Document.Services[service].LossHeadroom
	if headroom == configuration.HeadroomNone || headroom == "" {
		return u.Capacity(service)
	}
	slots := SlotsForNewGenerations(snapshot.liveSlots(service, u.config.Now()), headroom)
	if slots == 0 { // no live upstream serves the model: placement fails anyway
		return u.Capacity(service)
	}
	return max(1, slots/len(sortedMembers(u.config.Instances(), u.config.Self)))
}
