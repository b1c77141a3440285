// Package instance is the life of one instance: it provisions the parts from
// the settings, validates them, runs them and stops them gracefully, and serves
// the HTTP interface.
//
// The package must never end a request because the instance is shutting down,
// and must never admit new work while the instance is not confirmed.
package instance
