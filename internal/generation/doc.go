// Package generation runs generations: it detects failed attempts, starts new
// ones, stores the accepted tokens, and delivers them to the subscribers of this
// instance and of other instances.
//
// The package must never deliver a token to a caller whose preceding text
// differs from the text of the generation.
package generation
