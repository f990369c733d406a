package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/api/wire"
)

const (
	objectTimeout      = 2 * time.Second
	maxCheckpointBytes = 1 << 20
)

// runner sends requests to the platform, each in a goroutine of its own. The
// reducer has at most one object request per run and one registration in flight.
type runner struct {
	platform string // URL without a path
	post     func(Event)
	client   *http.Client
}

func (r *runner) run(f Effect) {
	switch f := f.(type) {
	case WriteObject:
		go func() {
			_, err := r.request(http.MethodPut, wire.PathObjects+f.Name, f.Body)
			r.post(ObjectWritten{Name: f.Name, OK: err == nil})
		}()
	case ReadObject:
		go func() {
			body, err := r.request(http.MethodGet, wire.PathObjects+f.Name, nil)
			if err != nil {
				body = nil
			}
			r.post(ObjectRead{Name: f.Name, Body: body})
		}()
	case Register:
		go func() {
			body, err := json.Marshal(f.Host)
			if err == nil {
				_, err = r.request(http.MethodPost, wire.PathRegister, body)
			}
			r.post(Registered{OK: err == nil})
		}()
	}
}

// request sends a request to the platform and returns the body of a 200 answer.
func (r *runner) request(method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, r.platform+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, oops.With("status", answer.StatusCode, "path", path).Errorf("the platform refused the request")
	}
	return io.ReadAll(io.LimitReader(answer.Body, maxCheckpointBytes))
}
