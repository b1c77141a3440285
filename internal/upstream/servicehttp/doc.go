// Package servicehttp calls plain services over HTTP.
//
// The package must never let a call that is not idempotent be sent a second
// time by a layer below it.
package servicehttp
