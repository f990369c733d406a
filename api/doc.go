// Package api is the root of the module that holds the bodies of all protocols
// of an entry host: wire for JSON, tamarackstepv1 for the protobuf messages
// between entry hosts.
package api
