package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all lists in causal order, without duplicates.
// Hybrid logical timestamps order an event after all events that it may depend
// on; the instance ID breaks ties, so that each instance computes the same order.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortFunc(all, compareEvents)
	return slices.Compact(all)
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Request.Workspace, b.Request.Workspace),
		cmp.Compare(a.Request.Key, b.Request.Key),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(a.Upstream, b.Upstream),
		cmp.Compare(a.Detail, b.Detail),
	)
}

// latest returns the last limit events.
func latest(events []Event, limit int) []Event {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}
