// Package platformtest provides in-memory fakes of the platform's services with
// fault injection, for tests.
//
// The package must never be imported by a shipped program.
package platformtest
