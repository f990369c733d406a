// Package jobplatform is a small stand-in of the users' platform: the table
// store, workers that run tasks of jobs under leases, and a referee that checks
// from what the workers see that the scheduler keeps its promises. Each part can
// be told to misbehave as the platform's pages allow.
package jobplatform
