// Package soak runs the scheduler's hosts as separate processes under random,
// overlapping faults. Loopback proxies delay, reset or stall connections in one
// or both directions, signals stop, freeze and kill the host processes, and the
// in-process store and workers misbehave. A checker checks what workers and
// callers see. The seed determines the draws of each run, but not the timing of
// the processes.
//
// The package owns all processes, proxies and files of its runs and uses only
// loopback addresses.
package soak
