// Package deployment starts a small deployment as separate processes on
// loopback addresses: the platform's stand-in, workers, entry hosts and
// callers. It owns the processes that it starts and signals only those, each by
// its process ID.
package deployment
