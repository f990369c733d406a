// Package control makes all decisions of an entry host: one reducer over all
// events, which returns its effects as data. It owns the control state of the
// host: membership, partitions, the configuration in force, tasks, routes,
// calls and claims.
//
// Reduce is the only function that changes a State. It does no I/O, reads no
// clock, draws no random number and starts no goroutine. Time, seeds and
// identifiers arrive in events. The same events in the same order give the
// same effects, byte for byte: no result depends on the iteration order of a
// map.
//
// Each file name starts with its concern: partition for ownership and the
// transactions of a partition, membership for peers, configuration for the
// sheet, tasks for placement and the life cycle of tasks, calls for routing,
// claims for keyed calls. commit.go retries transactions until their outcome
// is known.
package control
