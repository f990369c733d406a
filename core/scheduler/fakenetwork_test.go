package scheduler

import "time"

// callFate is what the network does to one call to a worker.
type callFate struct {
	address      string        // that the call is sent to
	requestDelay time.Duration // from a slow dial; a call whose dial takes longer than its timeout is not sent
	requestLost  bool          // written to a connection that breaks
	answerDelay  time.Duration
	answerLost   bool
	late         time.Duration // carried out so long after it was sent, without an answer; 0: it is not
}

// fakeNetwork carries calls between hosts and workers.
type fakeNetwork struct {
	sim  *simulation
	fate func() callFate // of the next call
}

// downBehavior is what happens to calls to the address of a worker that is down.
type downBehavior int

const (
	refusesConnections downBehavior = iota // certainly not sent, at once
	resetsConnections                      // unknown, at once
	dropsDials                             // certainly not sent, at the timeout
	dropsCalls                             // unknown, at the timeout
	downBehaviors
)

// send carries a call to the worker that has the address when it arrives.
func (n *fakeNetwork) send(h fakeConnection, o WorkerCommand, unknown EventBody, perform func(fakeConnection, *fakeWorker)) {
	h.fate = n.fate()
	h.fate.address = o.Address
	notSent := notDone(unknown, RefusedNone)
	if h.fate.late > 0 {
		h.fate.answerLost = true
		h.deliverAfter(o.Timeout, unknown)
		n.sim.after(h.fate.late, func() {
			if f := n.sim.workerAt(o.Address); f != nil && f.alive && !f.disconnected && f.id == o.Worker {
				perform(h, f)
			}
		})
		return
	}
	if h.fate.requestDelay >= o.Timeout {
		h.deliverAfter(o.Timeout, notSent)
		return
	}
	if h.fate.requestLost {
		h.deliverAfter(o.Timeout, unknown)
		return
	}
	sent := n.sim.now
	n.sim.after(h.fate.requestDelay, func() {
		left := o.Timeout - (n.sim.now - sent)
		f := n.sim.workerAt(o.Address)
		switch {
		case f == nil:
			h.deliverAfter(workerDelay, notSent)
			return
		case !f.alive:
			switch f.down {
			case refusesConnections:
				h.deliverAfter(workerDelay, notSent)
			case resetsConnections:
				h.deliverAfter(workerDelay, unknown)
			case dropsDials:
				h.deliverAfter(left, notSent)
			default:
				h.deliverAfter(left, unknown)
			}
			return
		}
		h.deliverAfter(left, unknown)
		if f.disconnected {
			return
		}
		if f.id != o.Worker {
			h.answer(notDone(unknown, RefusedIncarnation))
			return
		}
		f.calls = append(f.calls, func() { h.deliverAfter(workerDelay, unknown) })
		perform(h, f)
	})
}
