package operator

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// UnreachableError reports that no host responded. If the request is not
// retryable, no byte of it was sent.
type UnreachableError struct{ Attempts []Attempt }

// Error lists the hosts that were tried, each with its error.
func (e *UnreachableError) Error() string {
	parts := make([]string, len(e.Attempts))
	for i, a := range e.Attempts {
		parts[i] = fmt.Sprintf("%s: %s", a.Host, a.Err)
	}
	return "no entry host could be reached: " + strings.Join(parts, "; ")
}

// UnknownOutcomeError reports that a request that is not retryable was or may
// have been sent, and that no complete response arrived.
type UnknownOutcomeError struct {
	Host string
	Err  error
}

// Error names the host and the transport's error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s gave no complete answer: %s", e.Host, e.Err)
}

// Unwrap returns the transport's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// stripURLError removes the method and URL from errors of the HTTP client, since
// the caller adds them. It replaces an exceeded deadline by errTimeout.
func stripURLError(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		err = urlError.Err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errTimeout
	}
	return err
}

// errTimeout replaces context.DeadlineExceeded in messages to operators.
var errTimeout = errors.New("no answer in time")
