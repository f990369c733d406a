// Package wire defines the JSON bodies, paths and headers of the HTTP protocols of
// the platform, the workers and the operators. Rows of the table service are raw
// JSON, since the platform does not interpret them.
package wire
