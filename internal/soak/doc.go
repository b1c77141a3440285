// Package soak runs several whole instances in one process in virtual time,
// with random faults at their interfaces, and checks what callers were promised
// over the whole history. Everything is in its test files.
//
// The package must never be imported by a shipped program.
package soak
