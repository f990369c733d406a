package platform

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

// State is the reducer's state. It implements loop.Machine.
type State struct {
	now     time.Duration
	table   table
	objects map[string][]byte
	stored  int // bytes of all objects
	hosts   hostList
	faults  wire.Faults
	stats   wire.StoreStats
	rng     *rand.Rand
	effects []Answer
}

// New returns the state of an empty platform. The seed is that of the draws that
// decide which answers are lost.
func New(seed uint64) *State {
	return &State{
		table: newTable(), objects: make(map[string][]byte),
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
}

// NextDeadline reports that the platform has no deadlines.
func (s *State) NextDeadline() (time.Duration, bool) { return 0, false }

// TimerEvent returns the event that reports a passed deadline.
func (s *State) TimerEvent() Event { return TimerFired{} }

// Step applies one event.
func (s *State) Step(at time.Duration, _ int64, event Event) []Answer {
	s.now, s.effects = at, s.effects[:0]
	switch e := event.(type) {
	case CommitRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.commit(e.Request) })
	case RowsRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.rows(e) })
	case RowRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.row(e.Key) })
	case ObjectPutRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.putObject(e) })
	case ObjectDeleteRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.deleteObject(e.Name) })
	case ObjectRequested:
		s.withFaults(e.Exchange, func() (int, any) { return s.object(e.Name) })
	case HostListRequested:
		s.withFaults(e.Exchange, func() (int, any) {
			return http.StatusOK, s.hosts.answer(s.now-milliseconds(s.faults.ListLagMS), e.Known)
		})
	case HostChanged:
		s.hosts.record(s.now, e.Host)
		s.answer(e.Exchange, exchange.Answer{Status: http.StatusOK})
	case FaultsChanged:
		s.faults = e.Faults
		s.answer(e.Exchange, exchange.Answer{Status: http.StatusOK})
	case StatsRequested:
		s.stats.Revision = s.table.revision
		s.answer(e.Exchange, exchange.Answer{Status: http.StatusOK, Body: s.stats})
	}
	return s.effects
}

// withFaults handles a request of the platform's own protocol, subject to the
// injected faults. A refused or hanging request takes no effect; one whose answer
// is delayed or lost takes effect at once.
func (s *State) withFaults(id exchange.ID, handle func() (int, any)) {
	switch {
	case s.faults.Hang:
		s.stats.Refused++
		s.answer(id, exchange.Answer{Hang: true})
		return
	case s.faults.Down:
		s.stats.Refused++
		s.answer(id, exchange.Answer{Status: http.StatusServiceUnavailable, Body: wire.Refusal{Reason: "down"}})
		return
	}
	status, body := handle()
	lose := s.rng.IntN(1000) < s.faults.LoseResponsesPerMill
	if lose {
		s.stats.Lost++
	}
	s.answer(id, exchange.Answer{Status: status, Body: body, Delay: milliseconds(s.faults.DelayMS), Lose: lose})
}

func (s *State) answer(id exchange.ID, a exchange.Answer) {
	s.effects = append(s.effects, Answer{Exchange: id, Answer: a})
}

func (s *State) commit(r wire.CommitRequest) (int, any) {
	if reason := overLimit(r); reason != "" {
		if len(s.stats.Rejected) < wire.MaxListedRejections {
			s.stats.Rejected = append(s.stats.Rejected, reason)
		}
		return http.StatusBadRequest, wire.Refusal{Reason: reason}
	}
	conflicts := s.table.commit(r)
	if len(conflicts) > 0 {
		s.stats.Conflicts++
		return http.StatusConflict, wire.CommitConflict{Conflicts: conflicts}
	}
	s.stats.Commits++
	return http.StatusOK, wire.CommitResponse{Revision: s.table.revision}
}

func (s *State) rows(e RowsRequested) (int, any) {
	s.stats.Reads++
	rows, more := s.table.list(e.Prefix, e.After, e.Limit)
	return http.StatusOK, wire.RowsResponse{Rows: rows, More: more}
}

func (s *State) row(key string) (int, any) {
	s.stats.Reads++
	return http.StatusOK, s.table.get(key)
}

// maxStoredBytes is the size of all objects together.
const maxStoredBytes = 400_000_000

func (s *State) putObject(e ObjectPutRequested) (int, any) {
	stored := s.stored - len(s.objects[e.Name]) + len(e.Bytes)
	if stored > maxStoredBytes {
		return http.StatusInsufficientStorage, wire.Refusal{Reason: "the object store is full"}
	}
	s.objects[e.Name], s.stored = e.Bytes, stored
	return http.StatusOK, nil
}

func (s *State) deleteObject(name string) (int, any) {
	s.stored -= len(s.objects[name])
	delete(s.objects, name)
	return http.StatusOK, nil
}

func (s *State) object(name string) (int, any) {
	s.stats.Reads++
	body, ok := s.objects[name]
	if !ok {
		return http.StatusNotFound, wire.Refusal{Reason: "no such object"}
	}
	return http.StatusOK, body
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
