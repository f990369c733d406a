package worker

import (
	"net/http"
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

// handleCommand answers a command, subject to the injected faults.
func (s *State) handleCommand(e Command) {
	switch {
	case s.faults.Hang:
		s.emit(Reply{Exchange: e.Exchange, Answer: exchange.Answer{Hang: true}})
		return
	case s.faults.Down:
		s.reply(e.Exchange, http.StatusServiceUnavailable, wire.Refusal{Reason: "down"})
		return
	}
	status, body := s.applyCommand(e.Body)
	s.emit(Reply{Exchange: e.Exchange, Answer: exchange.Answer{
		Status: status, Body: body, Delay: s.answerDelay(), Lose: s.drawLostAnswer(),
	}})
}

func (s *State) applyCommand(body any) (int, any) {
	switch r := body.(type) {
	case wire.SyncRequest:
		return s.withFencing(r.Owner, func() (int, any) { return http.StatusOK, s.sync(r) })
	case wire.StartRequest:
		return s.withFencing(r.Owner, func() (int, any) { return s.start(r) })
	case wire.RunRequest:
		return s.withFencing(r.Owner, func() (int, any) { return s.stop(r) })
	case wire.CheckpointRequest:
		return s.withFencing(r.Owner, func() (int, any) { return s.checkpoint(r) })
	case wire.ThrottleRequest:
		return s.withFencing(r.Owner, func() (int, any) { return s.throttle(r) })
	}
	return http.StatusBadRequest, wire.Refusal{Reason: "unknown command"}
}

// withFencing refuses a command whose epoch is lower than the highest seen for
// the partition. Otherwise it stores the epoch and handles the command.
func (s *State) withFencing(owner wire.Owner, handle func() (int, any)) (int, any) {
	if highest := s.epochs[owner.Partition]; owner.Epoch < highest {
		return http.StatusConflict, wire.Fenced{Epoch: highest}
	}
	s.epochs[owner.Partition] = owner.Epoch
	return handle()
}

// sync renews the leases of the requested runs if the incarnation matches. It reports
// these runs and all others of the partition.
func (s *State) sync(r wire.SyncRequest) wire.SyncResponse {
	a := wire.SyncResponse{Incarnation: s.options.Incarnation, ClockUS: s.now.Microseconds(), Leaving: s.leaving}
	requested := make(map[structs.TaskID]bool, len(r.Runs))
	for _, ref := range r.Runs {
		id := structs.TaskID(ref.Task)
		requested[id] = true
		run := s.runs[id]
		if run == nil || run.ref != ref {
			a.Runs = append(a.Runs, s.absentStatus(ref))
			continue
		}
		if r.Incarnation == s.options.Incarnation {
			run.leaseEnd = max(run.leaseEnd, microseconds(r.LeaseUntilUS))
		}
		a.Runs = append(a.Runs, run.status())
	}
	for _, run := range s.sortedRuns() {
		if run.partition != r.Partition {
			continue
		}
		if !requested[structs.TaskID(run.ref.Task)] {
			a.Runs = append(a.Runs, run.status())
		}
		if sample, ok := run.usageAt(s.now-s.options.UsageLag, s.now); ok {
			a.Usage = append(a.Usage, sample)
		}
	}
	return a
}

// absentStatus returns the status of a run that is not active on this worker:
// how it ended, or RunGone if that is not known.
func (s *State) absentStatus(ref wire.RunRef) structs.RunStatus {
	if st, ok := s.ended[structs.TaskID(ref.Task)]; ok && uint64(st.Run) == ref.Run {
		return st
	}
	return structs.RunStatus{Task: structs.TaskID(ref.Task), Run: structs.Run(ref.Run), State: structs.RunGone}
}

// start begins a run. It refuses a start that is late or meant for another incarnation,
// and ignores the start of a run that is active, has ended or was superseded.
func (s *State) start(r wire.StartRequest) (int, any) {
	if r.Incarnation != s.options.Incarnation || s.now > microseconds(r.NotAfterUS) {
		return http.StatusPreconditionFailed, wire.Refusal{Reason: "too late or another boot"}
	}
	id := structs.TaskID(r.Task)
	if st, ok := s.ended[id]; ok && uint64(st.Run) >= r.Run {
		return http.StatusOK, nil
	}
	if run := s.runs[id]; run != nil {
		if run.ref.Run >= r.Run {
			return http.StatusOK, nil
		}
		s.endRun(run, structs.RunStopped, "superseded by a later run")
	}
	s.beginRun(r)
	return http.StatusOK, nil
}

// stop ends a run, and records it as ended so that a start that arrives later
// is ignored.
func (s *State) stop(r wire.RunRequest) (int, any) {
	id := structs.TaskID(r.Task)
	if run := s.runs[id]; run != nil && run.ref == r.RunRef {
		s.endRun(run, structs.RunStopped, "")
	} else if st, ok := s.ended[id]; !ok || uint64(st.Run) < r.Run {
		s.ended[id] = structs.RunStatus{Task: id, Run: structs.Run(r.Run), State: structs.RunStopped}
	}
	return http.StatusOK, nil
}

// checkpoint starts to write a run's checkpoint. The run ends when it is stored.
func (s *State) checkpoint(r wire.CheckpointRequest) (int, any) {
	run := s.runs[structs.TaskID(r.Task)]
	if run == nil || run.ref != r.RunRef {
		return http.StatusNotFound, wire.Refusal{Reason: "no such run"}
	}
	if run.checkpointObject == "" {
		run.checkpointObject, run.writeAt = r.Object, s.now+s.options.CheckpointTime
	}
	return http.StatusAccepted, nil
}

func (s *State) throttle(r wire.ThrottleRequest) (int, any) {
	if run := s.runs[structs.TaskID(r.Task)]; run != nil && run.ref == r.RunRef {
		run.cpuShare = min(max(r.Share, 0), 1)
	}
	return http.StatusOK, nil
}

func (s *State) sortedRuns() []*taskRun {
	list := make([]*taskRun, 0, len(s.runs))
	for _, run := range s.runs {
		list = append(list, run)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ref.Task < list[j].ref.Task })
	return list
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
