// Package dispatch runs calls to plain services. Idempotent calls are retried
// and hedged within a budget. Other calls run at most once, which a durable
// record per call ensures.
//
// Invariants: a call that is not idempotent is sent only by the submission that
// owns its record, and is never sent again once it may have run.
package dispatch
