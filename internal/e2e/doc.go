// Package e2e holds the few tests that need real processes: signals, cut and
// silent sockets, an instance that starts while the platform is down. Run them
// with `make e2e`.
package e2e
