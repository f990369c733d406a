// Package policy makes placement decisions with pure functions and small
// models: which workers can take a task (Filter), how well each one suits
// (Score), the order of waiting work (Rank), which running tasks to evict
// (ChooseVictims), the sizes, run times and interference learned from measurements,
// and the throttling of batch tasks beside services that exceed their latency
// target (BatchThrottle).
//
// Nothing here reads a clock or draws random numbers: times are passed in as
// durations on the caller's monotonic clock. Models are plain values that the
// caller owns; no function keeps state of its own.
package policy
