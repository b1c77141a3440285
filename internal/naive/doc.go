// Package naive implements parts of the product in the simplest way, behind the
// same interfaces. The implementations are correct without faults; the fault
// tests show how they fail with faults.
//
// The package must never be used by a shipped program.
package naive
