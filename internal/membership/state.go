// Package membership tracks which instances are live, from the platform's
// instance list, from the settings and from heartbeats. Heartbeats also carry
// sections with data of other packages.
//
// An instance must never count as contacted without a completed round trip to
// it, or to an instance that itself completed a round trip to it. Traffic must
// stay bounded by a fixed number of peers.
package membership

import (
	"strconv"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/failuredomain"
)

// State is the state that an instance reports of itself.
type State uint8

// States of an instance.
const (
	Unready  State = iota // running, but admits no new work
	Ready                 // admits new work
	Draining              // finishes requests in flight, then leaves
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

// Member is the identity and location of an instance.
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
