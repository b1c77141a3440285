package upstream

import "sync/atomic"

// Stats counts what an Upstreams did since its start.
type Stats struct {
	Placed           atomic.Int64 // requests placed on an upstream
	NotPlaced        atomic.Int64 // requests for which there was no upstream
	HeldBack         atomic.Int64 // requests held back until a death is confirmed or a quarantine ends
	Polls            atomic.Int64 // load reports asked for
	PollsFailed      atomic.Int64 // load reports that did not come
	DigestsLearned   atomic.Int64 // digests of peers
	EntriesDiscarded atomic.Int64 // entries of peers' digests with an impossible time
	Deaths           atomic.Int64 // confirmed deaths seen by this instance
	StateChanges     atomic.Int64 // changes between live, down and leaving
}
