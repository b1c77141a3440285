// Package soak runs several complete instances in one process in virtual time,
// injects random faults at their interfaces, and checks the guarantees to callers
// and operators over the whole history. All code is in test files.
//
// The package must never be imported by a shipped program.
package soak
