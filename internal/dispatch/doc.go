// Package dispatch runs calls to plain services: idempotent calls with retries
// and hedges within a budget, other calls at most once by a durable record.
//
// The package must never send a call on a record that it did not create, and
// must never send a call that is not idempotent a second time.
package dispatch
