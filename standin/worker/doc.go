// Package worker is a stand-in for one of the platform's workers, which is
// also the target of calls. It runs simulated tasks under leases on its own
// monotonic clock, refuses commands of old epochs and late starts, and answers calls to
// the services whose replicas it runs, within its slots and connections. A
// reducer owns all state; HTTP goroutines post events, stream answers and
// execute its effects.
package worker
