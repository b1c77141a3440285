// Package bench measures real processes on loopback: resume latency and its
// cost, added latency and processor time, overload, control-plane cost and the
// propagation of configurations.
//
// The package must never be imported by a shipped program, and must never report
// a figure without the seed and configuration that produced it.
package bench
