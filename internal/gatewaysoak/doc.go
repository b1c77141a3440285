// Package gatewaysoak runs real gateways before emulated servers and a store, as
// separate processes, with faults from outside, and checks from what callers and
// servers see that every promise holds. Its tests need the build tag e2e.
package gatewaysoak
