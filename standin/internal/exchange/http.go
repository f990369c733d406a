package exchange

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Answer tells how to answer one HTTP request. The control loop decides it.
type Answer struct {
	Status int
	Body   any           // []byte is sent as it is, nil as no body, anything else as JSON
	Delay  time.Duration // time to wait before answering
	Lose   bool          // close the connection instead of answering
	Hang   bool          // answer nothing until the client gives up
}

// Serve writes an answer, or injects its fault, on the connection of the request.
func Serve(w http.ResponseWriter, r *http.Request, a Answer) {
	if a.Hang {
		<-r.Context().Done()
		return
	}
	if !Wait(r.Context(), a.Delay) {
		return
	}
	if a.Lose {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer
	}
	body, raw := a.Body.([]byte)
	if !raw && a.Body != nil {
		w.Header().Set("Content-Type", "application/json")
		body, _ = json.Marshal(a.Body)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

// Wait returns true after the duration, or false when the context ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ReadBody reads a request body of up to limit bytes. On failure it answers 400
// and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// ReadJSON decodes a JSON request body of up to limit bytes. On failure it
// answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, out any) bool {
	body, ok := ReadBody(w, r, limit)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
