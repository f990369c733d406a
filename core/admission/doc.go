// Package admission decides whether a new job is accepted or refused when a
// service has less room than work (Decide), and measures at what rate work is
// done (Meter).
//
// Nothing here reads a clock or draws random numbers: times, ages and random
// numbers are passed in.
package admission
