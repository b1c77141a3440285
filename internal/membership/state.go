// Package membership knows which instances are live: from the platform's list,
// from the settings and from heartbeats. Heartbeats also carry the digests of
// other packages.
//
// The package must never count an instance as heard without a completed round
// trip to it or to one that completed a round trip to it, and its traffic must
// never grow beyond a bounded number of peers.
package membership

import (
	"strconv"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/failuredomain"
)

// State is what an instance tells about itself.
type State uint8

// The states.
const (
	Unready  State = iota // runs, but admits no new work
	Ready                 // admits new work
	Draining              // finishes in-flight work and then leaves
)

// String returns the state as it appears in logs and in the HTTP API.
func (s State) String() string {
	switch s {
	case Unready:
		return "unready"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "state " + strconv.Itoa(int(s))
}

// Member identifies an instance and tells where it is.
type Member struct {
	ID      contract.InstanceID
	Address string // of the link, IP number and port
	Domain  contract.FailureDomainID
	Region  string
}

func (m Member) candidate() failuredomain.Member {
	return failuredomain.Member{ID: m.ID, Domain: m.Domain, Region: m.Region}
}

func (m Member) entry() entry {
	return entry{ID: m.ID, Address: m.Address, Domain: m.Domain, Region: m.Region}
}

func (e entry) member() Member {
	return Member{ID: e.ID, Address: e.Address, Domain: e.Domain, Region: e.Region}
}
