// Package failuredomain selects the peers of an instance so that the graph of
// links stays connected when any failure domain is lost.
//
// The package consists of pure functions. It must never select peers that are
// all in one failure domain while members of others are available.
package failuredomain

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// MaxPeers is the number of peers that an instance selects by default.
const MaxPeers = 8

// linksPerRing is the number of neighbours of a member in a ring.
const linksPerRing = 2

// Member is an instance that can be selected as a peer.
type Member struct {
	ID     contract.InstanceID
	Domain contract.FailureDomainID
	Region string
}

// Peers returns the peers of self among members, ordered by identifier. It
// returns at most max peers; max must be at least 2. The selection is symmetric
// for a given list: b is a peer of a if and only if a is a peer of b.
//
// Up to max+1 members form a full mesh. Otherwise the links are the union of
// max/2 rings in pseudorandom order: the first ring connects the members of
// self's failure domain, the others connect all members with neighbours in
// different failure domains. Rings give each member a bounded number of links
// and keep the graph connected; their independent orders keep its diameter
// logarithmic in the number of members.
func Peers(self Member, members []Member, max int) []Member {
	all := normalize(self, members)
	if len(all) <= max+1 {
		return slices.DeleteFunc(all, func(m Member) bool { return m.ID == self.ID })
	}
	selected := map[contract.InstanceID]Member{}
	sameDomain := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Domain != self.Domain })
	addNeighbours(selected, self, pseudorandomOrder(sameDomain, 0))
	for k := 1; k < max/linksPerRing; k++ {
		addNeighbours(selected, self, separateDomains(pseudorandomOrder(all, uint64(k))))
	}
	peers := make([]Member, 0, len(selected))
	for _, m := range selected {
		peers = append(peers, m)
	}
	slices.SortFunc(peers, byID)
	return peers
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// normalize returns members and self, ordered and without duplicates, so that
// the selection depends only on the set of members.
func normalize(self Member, members []Member) []Member {
	all := make([]Member, 0, len(members)+1)
	all = append(all, self)
	for _, m := range members {
		if m.ID != self.ID {
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, byID)
	return slices.CompactFunc(all, func(a, b Member) bool { return a.ID == b.ID })
}

// pseudorandomOrder returns the members in the order given by seed. Adding or
// removing a member does not change the order of the remaining ones.
func pseudorandomOrder(members []Member, seed uint64) []Member {
	type ranked struct {
		rank  uint64
		index int
	}
	var key [8 + 64]byte // seed, then room for the identifier
	binary.BigEndian.PutUint64(key[:8], seed)
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{rank: xxhash.Sum64(append(key[:8], m.ID...)), index: i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return byID(members[a.index], members[b.index])
	})
	out := make([]Member, len(order))
	for i, r := range order {
		out[i] = members[r.index]
	}
	return out
}

// separateDomains moves members by few places so that neighbours are in
// different failure domains. It prefers a neighbour in a different region if one
// is among the next few members.
func separateDomains(order []Member) []Member {
	const regionLookahead = 4
	for i := 1; i < len(order); i++ {
		previous := order[i-1]
		pick := -1
		for j := i; j < len(order); j++ {
			if order[j].Domain == previous.Domain {
				continue
			}
			if pick < 0 {
				pick = j
			}
			if order[j].Region != previous.Region {
				pick = j
				break
			}
			if j-pick >= regionLookahead {
				break
			}
		}
		if pick > i {
			moved := order[pick]
			copy(order[i+1:pick+1], order[i:pick])
			order[i] = moved
		}
	}
	return order
}

func addNeighbours(selected map[contract.InstanceID]Member, self Member, order []Member) {
	i := slices.IndexFunc(order, func(m Member) bool { return m.ID == self.ID })
	n := len(order)
	for _, neighbour := range []Member{order[(i+1)%n], order[(i+n-1)%n]} {
		if neighbour.ID != self.ID {
			selected[neighbour.ID] = neighbour
		}
	}
}
