package membership

import (
	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Section is data that another package adds to each regular heartbeat, opaque
// to this package. Functions may be called concurrently and must not block;
// Collect and OnResult alternate for each peer.
type Section struct {
	ID uint8
	// Collect returns the data for a peer, nil for none. It is bounded to 64 KiB.
	Collect func(peer contract.InstanceID) []byte
	// Receive processes the data of a peer. An error rejects it and is logged.
	Receive func(peer contract.InstanceID, data []byte) error
	// OnResult reports whether the peer has responded to the heartbeat with the
	// data that Collect returned last. If delivered is false, the peer may or may
	// not have received it. Optional.
	OnResult func(peer contract.InstanceID, delivered bool)
}

// RegisterSection adds a section. It must be called before Run and once per
// identifier.
func (m *Membership) RegisterSection(section Section) {
	contract.Invariant(m.sections[section.ID].Collect == nil, "section is registered once", "section", section.ID)
	contract.Invariant(len(m.sections) < maxSections, "number of sections is bounded", "section", section.ID)
	m.sections[section.ID] = section
}

func (m *Membership) collectSections(peer contract.InstanceID) []sectionData {
	var parts []sectionData
	for id, s := range m.sections {
		data := s.Collect(peer)
		if len(data) > maxSectionBytes {
			m.log.WithField("peer", peer).WithField("section", id).WithField("bytes", len(data)).Error("digest section exceeds its limit")
			continue
		}
		if len(data) > 0 {
			parts = append(parts, sectionData{ID: id, Data: data})
		}
	}
	return parts
}

func (m *Membership) receiveSections(peer contract.InstanceID, parts []sectionData) {
	for _, part := range parts {
		s, found := m.sections[part.ID]
		if !found {
			continue // sent by a later release
		}
		if err := s.Receive(peer, part.Data); err != nil {
			m.reject(peer, errors.Wrapf(err, "section %d", part.ID))
		}
	}
}

func (m *Membership) reportDelivery(peer contract.InstanceID, delivered bool) {
	for _, s := range m.sections {
		if s.OnResult != nil {
			s.OnResult(peer, delivered)
		}
	}
}
