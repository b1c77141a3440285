// Package contract defines what a request is promised: its identity, its
// outcomes, the order of its tokens and the digests that prove that two texts
// are the same.
//
// The package holds values and pure functions. It must never do I/O, read the
// clock or take a lock.
package contract
