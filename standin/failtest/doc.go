// Package failtest tests deployments of separate processes under failure while
// callers send calls and orders. Entry hosts and workers are killed, frozen or
// stopped, entry hosts are disconnected from the store, and the platform's
// stand-in and the workers lose answers or do not answer. Journals and reports
// are audited afterwards. Each test owns its deployment and folder and uses only
// loopback addresses. The tests are skipped under -short.
package failtest
