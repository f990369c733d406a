// Package failtest tests deployments of separate processes under failure. Entry
// hosts, workers and the platform's stand-in are killed, frozen, disconnected or
// stopped while callers send calls and orders; journals and reports are audited
// afterwards. Each test owns its deployment and folder and uses only loopback
// addresses. The tests are skipped under -short.
package failtest
