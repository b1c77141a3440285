// Package naive holds the simplest versions of the product's parts behind the
// same interfaces. They are correct without faults; the fault tests show how
// they fail with them.
//
// The package must never be used by a shipped program.
package naive
