// Package naive provides the baselines that tamarackstep is compared with in
// tests: placement and routing as an operator would commonly configure them,
// without learning from measurements. Router takes the events of the control package and
// returns its effects, so that both can be run with the same arrivals and service
// times. The production code does not use this package.
package naive
