// Package instance runs one instance: it builds the components from the
// settings, starts them, stops them gracefully, and serves the HTTP interface.
//
// The package must never end a request because the instance is shutting down,
// and must never admit new work while the instance is not confirmed.
package instance
