package workspace

import (
	"math"
	"sort"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Demand is the recent demand of one instance for a limit.
type Demand struct {
	Instance contract.InstanceID
	Amount   float64
	InUse    int // slots in use, which cannot be reclaimed
}

// equalPart is the fraction of a limit that is divided equally among the
// instances with demand. Without it, an instance whose demand has just started
// would get almost nothing while the demand of others is large.
const equalPart = 0.1

// Share returns the part of a limit that belongs to an instance. demands has
// one element for each instance with demand, the own one included. Instances
// with the same demands compute parts whose sum is the limit.
func Share(limit float64, own contract.InstanceID, demands []Demand) float64 {
	total := 0.0
	ownAmount := 0.0
	for _, d := range demands {
		total += d.Amount
		if d.Instance == own {
			ownAmount = d.Amount
		}
	}
	if total <= 0 {
		return limit / float64(max(1, len(demands)))
	}
	equalFraction := equalPart / float64(len(demands))
	return limit * (equalFraction + (1-equalPart)*ownAmount/total)
}

// IntegerShare is Share for a limit of whole slots: instances with the same
// demands compute whole parts whose sum is the limit. Each instance gets at
// least one slot if there are enough; slots that remain after rounding down go
// to the largest remainders. An instance with more slots in use than its part
// keeps them, at the expense of the free slots of others: the sum exceeds the
// limit only if the slots in use do.
func IntegerShare(limit int, own contract.InstanceID, demands []Demand) int {
	if limit <= 0 || len(demands) == 0 {
		return max(0, limit)
	}
	ordered := append([]Demand{}, demands...)
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].Amount != ordered[j].Amount {
			return ordered[i].Amount > ordered[j].Amount
		}
		return ordered[i].Instance < ordered[j].Instance
	})
	shares := integerShares(limit, ordered)
	reserveInUse(shares, ordered)
	for i, n := range shares {
		if ordered[i].Instance == own {
			return n
		}
	}
	return 0
}

// reserveInUse raises shares to the slots in use and takes the difference from
// the instances with the most free slots.
func reserveInUse(shares []int, demands []Demand) {
	excess := 0
	for i, d := range demands {
		if d.InUse > shares[i] {
			excess += d.InUse - shares[i]
			shares[i] = d.InUse
		}
	}
	for ; excess > 0; excess-- {
		most := 0
		for i, d := range demands {
			if shares[i]-d.InUse > shares[most]-demands[most].InUse {
				most = i
			}
		}
		if shares[most] <= demands[most].InUse {
			return
		}
		shares[most]--
	}
}

// integerShares expects demands in descending order.
func integerShares(limit int, demands []Demand) []int {
	shares := make([]int, len(demands))
	for i := range shares {
		if i < limit {
			shares[i] = 1
		}
	}
	remaining := limit - min(limit, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.Amount
	}
	if remaining == 0 {
		return shares
	}
	remainders := make([]float64, len(demands))
	assigned := 0
	for i, d := range demands {
		exact := float64(remaining) / float64(len(demands))
		if total > 0 {
			exact = float64(remaining) * d.Amount / total
		}
		whole := math.Floor(exact)
		shares[i] += int(whole)
		assigned += int(whole)
		remainders[i] = exact - whole
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return remainders[order[a]] > remainders[order[b]] })
	for i := 0; i < remaining-assigned && i < len(order); i++ {
		shares[order[i]]++
	}
	return shares
}
