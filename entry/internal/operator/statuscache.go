package operator

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackstep/tamarackstep/core/control"
)

const (
	// maxStatusAge is how old a cached status may be for probes and metrics. The
	// control loop visits all tasks of the host to produce a status, so frequent
	// probes must share one.
	maxStatusAge  = 500 * time.Millisecond
	statusTimeout = 2 * time.Second
)

// StatusCache caches the reducer's latest status for frequent readers.
type StatusCache struct {
	replies *Replies

	mu         sync.Mutex // held while a status is requested, so that concurrent readers share it
	status     control.StatusReply
	valid      bool
	receivedAt time.Time
}

// NewStatusCache returns an empty cache.
func NewStatusCache(r *Replies) *StatusCache { return &StatusCache{replies: r} }

// Status returns a status that is at most maxStatusAge old, or an error when the
// control loop does not answer.
func (s *StatusCache) Status(ctx context.Context) (control.StatusReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.valid && time.Since(s.receivedAt) < maxStatusAge {
		return s.status, nil
	}
	reply, err := s.replies.Ask(ctx, statusTimeout, statusRequest)
	if err != nil {
		return control.StatusReply{}, err
	}
	status, _ := reply.(control.StatusReply)
	s.status, s.valid, s.receivedAt = status, true, time.Now()
	return status, nil
}

func statusRequest(id control.OperatorRequestID) control.EventBody {
	return control.StatusRequested{Request: id}
}
