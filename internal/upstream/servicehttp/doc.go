// Package servicehttp calls plain services over HTTP.
//
// No layer below the package may send a call that is not idempotent a second
// time.
package servicehttp
