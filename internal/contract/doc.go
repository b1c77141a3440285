// Package contract defines the guarantees of a request: its identity, its
// outcomes, the order of its tokens and the digests that prove that two texts
// are equal.
//
// The package holds values and pure functions. It must never do I/O, read the
// clock or take a lock.
package contract
