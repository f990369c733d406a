package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxAnswerBytes bounds an answer of the platform or a worker that is read
// into memory. The largest is a configuration of some ten thousand rows.
const maxAnswerBytes = 16 << 20

var errAnswerTooLarge = errors.New("answer is too large")

// Answer is a whole answer held in memory.
type Answer struct {
	Status int
	Body   []byte
}

// Endpoint sends requests with JSON bodies to one kind of peer. Errors carry
// the step and the peer.
type Endpoint struct {
	Transport *Transport
	Part      string // names the kind of peer in errors
}

// Exchange sends a request with the given headers, which may be nil, and reads
// the whole answer. The error is nil exactly
// when the outcome is OutcomeDone; the status is the caller's to judge.
func (e Endpoint) Exchange(ctx context.Context, step, method string, u url.URL, header http.Header, body []byte) (Answer, structs.Outcome, error) {
	failed := oops.In(e.Part).With("step", step).With("peer", u.Host)
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), reader)
	if err != nil {
		return Answer{}, structs.OutcomeNotDone, failed.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, outcome, err := e.Transport.RoundTrip(req)
	if err != nil {
		return Answer{}, outcome, failed.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		return Answer{}, structs.OutcomeUnknown, failed.Wrap(err)
	}
	return Answer{Status: resp.StatusCode, Body: data}, structs.OutcomeDone, nil
}

// Post sends a JSON body.
func (e Endpoint) Post(ctx context.Context, step, address, path string, in any) (Answer, structs.Outcome, error) {
	body, err := json.Marshal(in)
	if err != nil {
		err = oops.In(e.Part).With("step", step).With("peer", address).Wrap(err)
		return Answer{}, structs.OutcomeNotDone, err
	}
	return e.Exchange(ctx, step, http.MethodPost, url.URL{Scheme: "http", Host: address, Path: path}, nil, body)
}

// Decode parses an answer's body.
func (e Endpoint) Decode(step, address string, a Answer, out any) error {
	if err := json.Unmarshal(a.Body, out); err != nil {
		return oops.In(e.Part).With("step", step).With("peer", address).Wrap(err)
	}
	return nil
}

// Refused returns the outcome that a status other than success proves, and an
// error that describes it. A refusal of the request itself (4xx, other than a
// timeout) means that it had no effect; anything else proves nothing.
func (e Endpoint) Refused(step, address string, a Answer) (structs.Outcome, error) {
	err := oops.In(e.Part).With("step", step).With("peer", address).With("status", a.Status).
		Errorf("answered with status %d", a.Status)
	if a.Status >= 400 && a.Status < 500 && a.Status != http.StatusRequestTimeout {
		return structs.OutcomeNotDone, err
	}
	return structs.OutcomeUnknown, err
}
