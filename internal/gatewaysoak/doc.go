// Package gatewaysoak runs real gateways with emulated servers and an emulated store
// as separate processes, injects faults from outside, and checks the guarantees from
// the responses and the logs of the servers. Its tests require the build tag e2e.
package gatewaysoak
