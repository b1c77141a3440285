package upstream

import "sync/atomic"

// Stats counts the operations of an Upstreams since its start.
type Stats struct {
	Placed           atomic.Int64 // requests placed on an upstream
	NotPlaced        atomic.Int64 // requests for which there was no upstream
	Deferred         atomic.Int64 // requests deferred until a crash is confirmed or a quarantine ends
	Polls            atomic.Int64 // load reports requested
	PollsFailed      atomic.Int64 // load reports not received
	DigestsApplied   atomic.Int64 // digests of peers that were applied
	EntriesDiscarded atomic.Int64 // entries of peers' digests with a time too far in the future
	Crashes          atomic.Int64 // confirmed crashes recorded by this instance
	StateChanges     atomic.Int64 // changes between live, down and leaving
}
