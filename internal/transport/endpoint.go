package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxResponseBytes bounds a response body that is read into memory. The largest is
// a configuration of some ten thousand rows.
const maxResponseBytes = 16 << 20

var errResponseTooLarge = fmt.Errorf("response is larger than %d bytes", maxResponseBytes)

// Response is a response with its whole body in memory.
type Response struct {
	Status int
	Body   []byte
}

// Endpoint sends requests with JSON bodies to one kind of peer. Its errors carry
// the step, which names the request, and the address of the peer.
type Endpoint struct {
	Transport *Transport
	PeerKind  string // names the kind of peer in errors
}

// Do sends a request with the given headers, which may be nil, and reads the whole
// response. The error is nil if and only if the outcome is OutcomeDone; Do does
// not check the status.
func (e Endpoint) Do(ctx context.Context, step, method string, u url.URL, header http.Header, body []byte) (Response, structs.Outcome, error) {
	failed := oops.In(e.PeerKind).With("step", step).With("peer", u.Host)
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), reader)
	if err != nil {
		return Response{}, structs.OutcomeNotDone, failed.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, outcome, err := e.Transport.RoundTrip(req)
	if err != nil {
		return Response{}, outcome, failed.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		e.Transport.closeIdleAfterTimeout(req)
		return Response{}, structs.OutcomeUnknown, failed.Wrap(err)
	}
	return Response{Status: resp.StatusCode, Body: data}, structs.OutcomeDone, nil
}

// Post sends a POST request with a JSON body to an address.
func (e Endpoint) Post(ctx context.Context, step, address, path string, in any) (Response, structs.Outcome, error) {
	body, err := json.Marshal(in)
	if err != nil {
		err = oops.In(e.PeerKind).With("step", step).With("peer", address).Wrap(err)
		return Response{}, structs.OutcomeNotDone, err
	}
	return e.Do(ctx, step, http.MethodPost, url.URL{Scheme: "http", Host: address, Path: path}, nil, body)
}

// Decode decodes the JSON body of a response into out.
func (e Endpoint) Decode(step, address string, r Response, out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return oops.In(e.PeerKind).With("step", step).With("peer", address).Wrap(err)
	}
	return nil
}

// StatusError returns an error that describes a status other than success.
func (e Endpoint) StatusError(step, address string, r Response) error {
	return oops.In(e.PeerKind).With("step", step).With("peer", address).With("status", r.Status).
		Errorf("answered with status %d", r.Status)
}

// RefusalOutcome returns the outcome that a status other than success proves, and
// an error that describes it. A status 4xx, except for a request timeout (408),
// means that the request had no effect; after any other the outcome is unknown.
func (e Endpoint) RefusalOutcome(step, address string, r Response) (structs.Outcome, error) {
	err := e.StatusError(step, address, r)
	if r.Status >= 400 && r.Status < 500 && r.Status != http.StatusRequestTimeout {
		return structs.OutcomeNotDone, err
	}
	return structs.OutcomeUnknown, err
}

// RejectsContent reports whether a status refuses the content of a request, so that the
// same request is refused whenever it is sent. Others, such as 403, 404 or 429, may come
// from the state of the peer or from something in between.
func RejectsContent(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}
