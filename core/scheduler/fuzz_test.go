package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// recoveryLimit is how long accepted jobs may take to end once all faults are over:
// a worker's lease, a leader's lease, and the work.
const recoveryLimit = 40 * time.Second

// labelKinds are the kinds of workers. With two shards, each has workers of one kind.
var labelKinds = []string{"k0", "k1"}

// TestSchedulerInvariants guards against violations of the oracle's invariants and
// accepted jobs that never end, when hosts are killed or frozen, the store is
// unreachable or performs commits late, workers crash, are disconnected, drain or carry
// out starts late, and zones are evacuated. It runs with one shard and with two.
func TestSchedulerInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulationWithBounds(rt, 3, 4, rapid.SampledFrom([]int{0, 2}).Draw(rt, "workers of a shard"), boundsWithReactionTimes())
		requests := make(map[RequestID]string)
		persistent := make(map[string]RequestID)
		defer func() {
			if rt.Failed() {
				for req, id := range requests {
					rt.Log(id, sim.answers[req].Status, sim.jobState(id), sim.store.get(TableJobs, id) != nil)
				}
				for _, r := range sim.decisions[max(0, len(sim.decisions)-200):] {
					rt.Log(r)
				}
			}
		}()
		sim.waitForLeader()
		startOutcomes := rapid.SampledFrom([]startOutcome{startAnswered, startAnswered, startAnswered, startUnanswered, startLost, startLate})
		commitOutcomes := rapid.SampledFrom([]int{commitAnswered, commitAnswered, commitAnswered, commitUnanswered, commitLate})
		faulty := true
		for i, id := range []structs.WorkerID{"w00", "w01", "w02", "w03"} {
			sim.workers[id].labels = []string{labelKinds[i/2]}
			sim.workers[id].writeEntry(false)
			sim.workers[id].onStart = func(StartTask) startOutcome {
				if !faulty {
					return startAnswered
				}
				return startOutcomes.Draw(rt, "fate of a start")
			}
		}
		commitsFail := false
		sim.store.commitOutcome = func(*fakeHost, Commit) int {
			if !commitsFail {
				return commitAnswered
			}
			return commitOutcomes.Draw(rt, "fate of a commit")
		}
		steps := rapid.IntRange(5, 25).Draw(rt, "steps")
		for i := range steps {
			h := sim.hosts[rapid.IntRange(0, 2).Draw(rt, "host")]
			f := sim.workers[structs.WorkerID(fmt.Sprintf("w%02d", rapid.IntRange(0, 3).Draw(rt, "worker")))]
			switch rapid.IntRange(0, 12).Draw(rt, "step") {
			case 0, 1, 2:
				id := fmt.Sprintf("%016x", i+1)
				work := time.Duration(rapid.IntRange(50, 4000).Draw(rt, "work")) * time.Millisecond
				if rapid.IntRange(0, 3).Draw(rt, "persistent") == 0 {
					job := singleStepJob(rapid.IntRange(1, 4).Draw(rt, "tasks"), 100*time.Millisecond, rapid.SampledFrom([]int64{1000, 5000}).Draw(rt, "processors"))
					job.Steps[0].Persistent = true
					persistent[id] = sim.submit(h, id, job)
					break
				}
				if rapid.IntRange(0, 2).Draw(rt, "labels") == 0 {
					labels := rapid.SliceOfN(rapid.SampledFrom(labelKinds), 2, 4).Draw(rt, "labels of steps")
					requests[sim.submit(h, id, chainJob(work/4, rapid.IntRange(1, 3).Draw(rt, "tasks"), labels...))] = id
					break
				}
				requests[sim.submit(h, id, singleStepJob(rapid.IntRange(1, 5).Draw(rt, "tasks"), work, rapid.SampledFrom([]int64{1000, 3000}).Draw(rt, "processors")))] = id
			case 3:
				h.kill()
				sim.after(500*time.Millisecond, h.start)
			case 4:
				if h.alive && !h.frozen {
					h.frozen = true
					pause := time.Duration(rapid.IntRange(200, 4000).Draw(rt, "freeze")) * time.Millisecond
					sim.after(pause, h.thaw)
				}
			case 5:
				sim.store.down = !sim.store.down
			case 6:
				commitsFail = !commitsFail
			case 7:
				f.disconnected = !f.disconnected
			case 8:
				if f.alive {
					f.crash()
					sim.after(time.Second, func() {
						if !f.replaced {
							f.boot()
						}
					})
				}
			case 9:
				h.storeCut = !h.storeCut
			case 10:
				f.replace()
			case 11:
				zone := evacuationKeyPrefix + f.zone
				if sim.store.get(TableOperator, zone) == nil {
					sim.store.set(TableOperator, zone, EvacuationRow{})
				} else {
					sim.store.set(TableOperator, zone, nil)
				}
			case 12:
				if f.alive && !f.replaced {
					f.writeEntry(true)
					sim.after(3*time.Second, f.replace)
				}
			}
			sim.advance(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		faulty, commitsFail, sim.store.down = false, false, false
		for _, h := range sim.hosts {
			h.storeCut = false
		}
		for _, f := range sim.workers {
			f.disconnected = false
			sim.store.set(TableOperator, evacuationKeyPrefix+f.zone, nil)
		}
		sim.advance(5 * time.Second)
		for id, req := range persistent {
			if sim.answers[req].Status == AnswerOK {
				persistent[id] = sim.request(sim.hosts[0], RequestCancel, "/q/"+id)
			} else {
				delete(persistent, id)
			}
		}
		sim.waitFor(recoveryLimit, "the end of all cancelled jobs", func() bool {
			for id, req := range persistent {
				if sim.answers[req].Status != AnswerOK {
					if sim.answers[req].Status != 0 || !sim.hosts[0].alive || sim.hosts[0].frozen {
						persistent[id] = sim.request(sim.hosts[0], RequestCancel, "/q/"+id)
					}
					return false
				}
				for index := range sim.submittedJobs[structs.JobID(id)].Steps[0].Count {
					if sim.workerRunning(structs.TaskRef{Job: structs.JobID(id), Index: index}) != nil {
						return false
					}
				}
			}
			return true
		})
		sim.waitFor(recoveryLimit, "the end of all accepted jobs", func() bool {
			for req, id := range requests {
				if sim.answers[req].Status == AnswerOK && !sim.jobState(id).Final() {
					return false
				}
			}
			return true
		})
		for req, id := range requests {
			stored := sim.store.get(TableJobs, id) != nil
			switch status := sim.answers[req].Status; {
			case status == AnswerOK && sim.jobState(id) != structs.JobCompleted:
				rt.Fatalf("accepted job %s is %s, want completed", id, sim.jobState(id))
			case status == AnswerNotRun && stored:
				rt.Fatalf("job %s was answered as not run but is stored", id)
			}
		}
	})
}
