package worker

import (
	"encoding/json"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const never = time.Duration(1<<63 - 1)

// taskRun is an active run of a task.
type taskRun struct {
	ref              wire.RunRef
	partition        int
	spec             structs.TaskSpec
	behavior         behavior
	intervalIndex    int // index in State.intervals
	leaseEnd         time.Duration
	started          time.Duration
	advancedTo       time.Duration         // time up to which workDone has been counted
	workDone         time.Duration         // run time at full speed that equals the work done, batch tasks
	cpuShare         float64               // share of its processors that it may use, 0 to 1
	resuming         bool                  // waits until its checkpoint has been read
	readAt           time.Duration         // when to retry the read of the checkpoint; 0: read in flight
	checkpointObject string                // name of the checkpoint being written; empty: none
	writeAt          time.Duration         // when to write the checkpoint; 0: write in flight
	samples          []structs.UsageSample // oldest first
	sampledAt        []time.Duration       // when each sample was taken
}

// checkpointBody is the content of a checkpoint object.
type checkpointBody struct {
	Task     string  `json:"task"`
	Run      uint64  `json:"run"`
	Progress float64 `json:"progress"`
}

// nextDeadline returns when the lease ends, the task finishes, or a checkpoint is
// to be read or written, whichever is first.
func (r *taskRun) nextDeadline(now time.Duration) time.Duration {
	at := r.leaseEnd
	if r.checkpointObject != "" {
		if r.writeAt > 0 {
			at = min(at, r.writeAt)
		}
		return at
	}
	if r.resuming {
		if r.readAt > 0 {
			at = min(at, r.readAt)
		}
		return at
	}
	return min(at, r.finishAt(now))
}

// finishAt returns when a batch task finishes at its current speed, or never.
func (r *taskRun) finishAt(now time.Duration) time.Duration {
	total := milliseconds(r.spec.RunTimeMS)
	if r.spec.Kind != structs.KindBatch || total == 0 || r.cpuShare == 0 {
		return never
	}
	left := total - r.workDone
	if left <= 0 {
		return now
	}
	return r.advancedTo + time.Duration(float64(left)/r.cpuShare) + time.Millisecond
}

// progress returns the share of a batch task that is done.
func (r *taskRun) progress() float64 {
	total := milliseconds(r.spec.RunTimeMS)
	if r.spec.Kind != structs.KindBatch || total == 0 {
		return 0
	}
	return min(1, float64(r.workDone)/float64(total))
}

func (r *taskRun) status() structs.RunStatus {
	return structs.RunStatus{
		Task: structs.TaskID(r.ref.Task), Run: structs.Run(r.ref.Run), State: structs.RunRunning, Progress: r.progress(),
	}
}

// advance brings all runs up to the current time: it ends runs whose lease has
// expired or whose work is done, and reads and writes checkpoints that are due.
func (s *State) advance() {
	for _, run := range s.sortedRuns() {
		if s.now >= run.leaseEnd {
			s.endRun(run, structs.RunLeaseExpired, "")
			continue
		}
		run.sampleUsage(s.now)
		switch {
		case run.checkpointObject != "":
			if run.writeAt > 0 && s.now >= run.writeAt {
				run.writeAt = 0
				s.writeCheckpoint(run)
			}
		case run.resuming:
			if run.readAt > 0 && s.now >= run.readAt {
				run.readAt = 0
				s.emit(ReadObject{Name: run.spec.ResumeFrom})
			}
		default:
			run.workDone += time.Duration(float64(s.now-run.advancedTo) * run.cpuShare)
			if run.finishAt(s.now) <= s.now {
				s.endRun(run, structs.RunSucceeded, "")
			}
		}
		run.advancedTo = s.now
	}
}

// beginRun starts a run that is not active yet. A run that resumes makes no
// progress until its checkpoint has been read.
func (s *State) beginRun(r wire.StartRequest) {
	run := &taskRun{
		ref: r.RunRef, partition: r.Partition, spec: r.Spec, behavior: parseBehavior(r.Spec.Command),
		leaseEnd: microseconds(r.LeaseUntilUS), started: s.now, advancedTo: s.now, cpuShare: 1, intervalIndex: len(s.intervals),
	}
	s.intervals = append(s.intervals, wire.RunInterval{
		Worker: structs.WorkerID(s.options.Host.ID), Task: structs.TaskID(r.Task), Run: structs.Run(r.Run), Row: r.Spec.Row,
		StartMS: s.wallMS, LeaseEndMS: s.unixMSAt(run.leaseEnd), State: structs.RunRunning, ResumeFrom: r.Spec.ResumeFrom,
	})
	started := s.intervals[run.intervalIndex]
	s.emit(AppendJournal{Entry: wire.JournalEntry{Started: &started}})
	s.runs[structs.TaskID(r.Task)] = run
	if !s.requestedResources().Fits(s.capacity()) {
		s.emit(AppendJournal{Entry: wire.JournalEntry{Overcommit: &started}})
	}
	switch {
	case s.faults.FailAll || run.behavior.fails:
		s.endRun(run, structs.RunFailed, "exit status 1")
	case r.Spec.ResumeFrom != "":
		run.resuming = true
		s.emit(ReadObject{Name: r.Spec.ResumeFrom})
	}
}

// requestedResources returns the sum of the resources that all active runs request.
func (s *State) requestedResources() structs.Resources {
	var sum structs.Resources
	for _, run := range s.runs {
		sum = sum.Add(run.spec.Request)
	}
	return sum
}

func (s *State) capacity() structs.Resources {
	return structs.Resources{
		MilliCores: s.options.Host.MilliCores, MemoryMB: s.options.Host.MemoryMB, Accelerators: s.options.Host.Accelerators,
	}
}

// endRun ends a run and aborts the calls that it was answering.
func (s *State) endRun(run *taskRun, state structs.RunState, detail string) {
	id := structs.TaskID(run.ref.Task)
	delete(s.runs, id)
	st := run.status()
	st.State, st.Detail = state, detail
	if state == structs.RunCheckpointed {
		st.Checkpoint = run.checkpointObject
	}
	s.ended[id] = st
	i := &s.intervals[run.intervalIndex]
	i.EndMS, i.State, i.LeaseEndMS = s.wallMS, state, s.unixMSAt(run.leaseEnd)
	ended := *i
	s.emit(AppendJournal{Entry: wire.JournalEntry{Ended: &ended}})
	s.abortCalls(id)
}

// unixMSAt converts a reading of the monotonic clock to Unix milliseconds.
func (s *State) unixMSAt(at time.Duration) int64 { return s.wallMS + (at - s.now).Milliseconds() }

func (s *State) writeCheckpoint(run *taskRun) {
	body, err := json.Marshal(checkpointBody{Task: run.ref.Task, Run: run.ref.Run, Progress: run.progress()})
	if err != nil {
		s.endRun(run, structs.RunFailed, err.Error())
		return
	}
	s.emit(WriteObject{Name: run.checkpointObject, Body: body})
}

// checkpointWritten ends the run whose checkpoint is stored, or schedules a
// retry.
func (s *State) checkpointWritten(e ObjectWritten) {
	for _, run := range s.sortedRuns() {
		if run.checkpointObject != e.Name || run.writeAt > 0 {
			continue
		}
		if e.OK {
			s.endRun(run, structs.RunCheckpointed, "")
		} else {
			run.writeAt = s.now + objectRetryDelay
		}
	}
}

// checkpointRead resumes the runs that wait for the checkpoint, or schedules a
// retry.
func (s *State) checkpointRead(e ObjectRead) {
	for _, run := range s.sortedRuns() {
		if !run.resuming || run.spec.ResumeFrom != e.Name || run.readAt > 0 {
			continue
		}
		var c checkpointBody
		if json.Unmarshal(e.Body, &c) != nil || c.Task != run.ref.Task {
			run.readAt = s.now + objectRetryDelay
			continue
		}
		run.resuming, run.advancedTo = false, s.now
		run.workDone = time.Duration(c.Progress * float64(milliseconds(run.spec.RunTimeMS)))
		s.intervals[run.intervalIndex].FromProgress = c.Progress
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
