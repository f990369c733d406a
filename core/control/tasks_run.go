package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/policy"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	maxStartAttempts = 3 // start commands sent for one run before it is stopped and its task placed again
	// checkpointTimeout is how long a run may take to checkpoint. After that it
	// is stopped and loses the progress since its last checkpoint.
	checkpointTimeout = 10 * time.Second
)

// runState is what the owner knows of one run.
type runState struct {
	boot               string    // boot of the worker when the run was assigned; a start for another boot is never sent
	startSent          bool      // a start was sent, by this owner or a former one
	startInFlight      bool      // a start command awaits its outcome
	startConfirmed     bool      // the worker confirmed the start or reported the run
	startConfirmedAt   Instant   // when it did
	startsSent         int       // start commands sent
	running            bool      // according to the last report of the worker
	presumedRunning    bool      // adopted from a former owner; a target until its worker reports otherwise
	runningSince       Instant   // when the run was first reported as running
	stopInFlight       bool      // a stop command awaits its outcome
	stopConfirmed      bool      // the worker confirmed a stop; a RunGone status of a synchronization sent after stopConfirmedAt proves that the run has ended
	stopConfirmedAt    Instant   // when it did
	evictedAt          Instant   // when the eviction became durable
	drainingSince      Instant   // when the replica was removed from the targets; 0: it was not
	endReason          string    // reason for the eviction or stop
	evictedFor         *rowState // row that the run is evicted for; nil: none
	checkpointAccepted bool      // the worker accepted the checkpoint command
	checkpointInFlight bool      // a checkpoint command awaits its outcome
	throttleInFlight   bool      // a throttle command awaits its outcome
	share              policy.Share
	progress           float64 // 0 to 1
	samples            int     // number of measurements so far
	provedStable       bool    // it ran for stableRunTime and was counted as a success of its worker
	sampledAt          Instant // time that the last measurement describes
	worker             structs.WorkerID
	zone, rack         string // location of the worker when the run was placed
}

// ref identifies the run in the task's row.
func (t *task) ref() RunRef { return RunRef{t.row.Task, t.row.Run} }

// isRun reports whether the reference identifies the run in the task's row.
func (t *task) isRun(ref RunRef) bool { return t.placed() && t.ref() == ref }

// runCommand is the common part of the handlers for the outcomes of commands to a
// run.
type runCommand struct {
	o   *ownedPartition
	t   *task
	ref RunRef
}

// current reports whether the run is still the task's run and this instance still
// the owner. Otherwise the outcome is obsolete.
func (c runCommand) current() bool { return c.o.partition.owned == c.o && c.t.isRun(c.ref) }

// command returns the common part of a command to a worker and registers the
// handler of its outcome.
func (s *State) command(o *ownedPartition, w *workerState, c completion) WorkerCommand {
	return WorkerCommand{
		ID: s.effectID(c), Worker: w.id, Address: w.spec.Address, Partition: o.partition.id, Epoch: o.epoch, Timeout: workerTimeout,
	}
}

// startRun sends a start command. It is repeated while unconfirmed. A run is only
// ever started on the boot under which it was assigned, so that a restart of the
// worker proves that the run has ended.
func (s *State) startRun(o *ownedPartition, t *task, w *workerState) {
	if t.run.startInFlight || t.run.stopInFlight {
		return
	}
	if w.boot != t.run.boot || t.run.startsSent >= maxStartAttempts {
		t.run.endReason = "the start was not confirmed"
		s.stopRun(o, t, w)
		return
	}
	t.run.startSent, t.run.startInFlight = true, true
	t.run.startsSent++
	row := s.rowOf(o, t.row.Row).sheet
	lease := w.clockNow(s.now) + taskLease
	w.leaseUntil = max(w.leaseUntil, lease)
	s.emit(StartTask{
		WorkerCommand: s.command(o, w, startOutcome{runCommand{o, t, t.ref()}}),
		Boot:          t.run.boot,
		NotAfter:      w.clockNow(s.now) + startValidity, LeaseUntil: lease, Ref: t.ref(),
		Spec: structs.TaskSpec{
			Row: t.row.Row, Kind: t.row.Kind, Command: row.Command, Request: t.row.Request,
			RunTimeMS: row.RunTimeMS, ResumeFrom: t.row.Checkpoint,
		},
	})
}

// startOutcome handles the outcome of a start command. The next synchronization
// reports whether the run is running.
type startOutcome struct{ runCommand }

func (c startOutcome) complete(s *State, result EventBody) {
	r := result.(CommandDone)
	if !c.current() {
		return
	}
	c.t.run.startInFlight = false
	if r.Outcome == OutcomeDone {
		c.t.run.startConfirmedAt, c.t.run.startConfirmed = s.now, true
	}
	if w := c.o.tasks.workers[c.t.row.Worker]; w != nil {
		s.syncWorker(c.o, w)
	}
}

// stopRun sends a stop command. It is repeated until confirmed.
func (s *State) stopRun(o *ownedPartition, t *task, w *workerState) {
	if t.run.stopInFlight || t.run.stopConfirmed {
		return
	}
	t.run.stopInFlight = true
	s.emit(StopTask{
		WorkerCommand: s.command(o, w, stopOutcome{runCommand{o, t, t.ref()}}),
		Ref:           t.ref(),
	})
}

// stopOutcome handles the outcome of a stop command. The next synchronization
// reports how the run ended: it may have succeeded just before the stop.
type stopOutcome struct{ runCommand }

func (c stopOutcome) complete(s *State, result EventBody) {
	r := result.(CommandDone)
	if !c.current() {
		return
	}
	c.t.run.stopInFlight = false
	if r.Outcome != OutcomeDone {
		return
	}
	c.t.run.stopConfirmed, c.t.run.stopConfirmedAt = true, s.now
	if w := c.o.tasks.workers[c.t.row.Worker]; w != nil {
		s.syncWorker(c.o, w)
	}
}

// checkpointObject returns the object name of a run's checkpoint. It contains the
// run number, so that an older run cannot overwrite the checkpoint.
func checkpointObject(ref RunRef) string { return fmt.Sprintf("checkpoints/%s/%d", ref.Task, ref.Run) }

// checkpointRun tells a worker to checkpoint and stop an evicted run. A run that
// exceeds checkpointTimeout is stopped without a new checkpoint.
func (s *State) checkpointRun(o *ownedPartition, t *task, w *workerState) {
	if s.now-t.run.evictedAt >= checkpointTimeout {
		s.stopRun(o, t, w)
		return
	}
	if t.run.checkpointAccepted || t.run.checkpointInFlight {
		return
	}
	t.run.checkpointInFlight = true
	s.emit(CheckpointTask{
		WorkerCommand: s.command(o, w, checkpointOutcome{runCommand{o, t, t.ref()}}),
		Ref:           t.ref(), Object: checkpointObject(t.ref()),
	})
}

// checkpointOutcome handles the outcome of a checkpoint command. A later
// synchronization reports the end of the run.
type checkpointOutcome struct{ runCommand }

func (c checkpointOutcome) complete(s *State, result EventBody) {
	r := result.(CommandDone)
	if !c.current() {
		return
	}
	c.t.run.checkpointInFlight = false
	c.t.run.checkpointAccepted = r.Outcome == OutcomeDone
}

// throttleRun limits a run to a share of its processors. It reports whether a
// command was needed.
func (s *State) throttleRun(o *ownedPartition, t *task, w *workerState, share policy.Share) bool {
	if t.run.throttleInFlight || t.run.share == share {
		return false
	}
	t.run.throttleInFlight = true
	s.emit(ThrottleTask{
		WorkerCommand: s.command(o, w, throttleOutcome{runCommand{o, t, t.ref()}, share}),
		Ref:           t.ref(), Share: float64(share),
	})
	return true
}

// throttleOutcome handles the outcome of a throttle command.
type throttleOutcome struct {
	runCommand
	share policy.Share
}

func (c throttleOutcome) complete(s *State, result EventBody) {
	r := result.(CommandDone)
	if !c.current() {
		return
	}
	c.t.run.throttleInFlight = false
	c.t.run.share = 0 // unknown: the next policy step sends the command again
	if r.Outcome == OutcomeDone {
		c.t.run.share = c.share
	}
}

// stopUnknownRun stops a run that is not in the partition's rows.
func (s *State) stopUnknownRun(o *ownedPartition, w *workerState, ref RunRef) {
	s.emit(StopTask{
		WorkerCommand: s.command(o, w, nil), Ref: ref,
	})
	s.recordDecision(DecisionRecord{
		Part: "worker", Action: "stops an unknown run", Subject: string(w.id), Where: string(ref.Task),
		Reason: fmt.Sprintf("run %d is not in the rows", ref.Run), Request: string(ref.Task),
	})
}
