// Package platform is a stand-in for the platform: a table service with
// conditional transactions, an object store and a host list that lags behind. It
// enforces the limits of the platform: of keys, rows, transactions and pages.
// A reducer owns all state; HTTP goroutines post events and write the answers
// that it decides on, including those that it loses or delays as a fault.
package platform
