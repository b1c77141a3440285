// Package generation runs generations: it decides when an attempt has failed
// and where the next one runs, holds the accepted tokens, and hands them to the
// subscribers of this instance and of other instances.
//
// The package must never deliver a token to a caller whose text before it
// differs from the text of the generation.
package generation
