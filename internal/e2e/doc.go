// Package e2e contains the tests that require real processes: signals, cut and
// silent sockets, an instance that starts while the platform is down. Run them
// with `make e2e`.
package e2e
