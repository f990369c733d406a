// Package caller generates a bounded load of idempotent calls and of orders,
// which carry idempotency keys, and spreads it over several entry hosts as a load
// balancer would. It checks that each answer belongs to its request, retries as
// the answers allow, and reports the outcome of every order.
//
// State is the reducer: it owns all jobs and the report and performs no I/O. The
// goroutines of Caller execute its effects: they send requests, probe hosts and
// verify answers.
package caller
