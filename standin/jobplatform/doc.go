// Package jobplatform is a stand-in for the users' platform: the table store,
// workers that run tasks of jobs under leases, and a checker that verifies the
// scheduler's guarantees from what the workers and the callers observe. The
// store and the workers can inject the faults that the platform's documentation
// allows.
package jobplatform
