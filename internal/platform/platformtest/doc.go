// Package platformtest holds in-memory fakes of the platform with fault
// injection, for tests.
//
// The package must never be imported by a shipped program.
package platformtest
