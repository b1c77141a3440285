// Package naive holds the simplest version of each role behind the same
// interfaces. It is correct without faults and exists to show that the fault
// tests detect what the real versions prevent.
//
// The package must never be used by a shipped program.
package naive
