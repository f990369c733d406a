// Package colocation decides how much best-effort work runs beside serving tasks on
// one worker.
//
// Best-effort tasks use the CPU that other tasks leave idle, and slow down serving
// tasks, which have a target for their tail latency, by amounts that depend on the
// images of both. A Model learns these amounts from measured tail latencies. A Worker
// holds the tasks of both kinds on one worker, and tells whether one more best-effort
// task is tolerated there, and how far those that run have to be slowed down.
//
// Nothing here reads a clock or sends a command: times are passed in on the caller's
// clock, and decisions are returned as data.
package colocation
