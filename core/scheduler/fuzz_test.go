package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/internal/testseed"
	"github.com/tamarackstep/tamarackstep/core/structs"
	"pgregory.net/rapid"
)

// healLimit is how long accepted jobs may take to end once all faults are over:
// a lease of a worker, a lease of a leader, and the work.
const healLimit = 40 * time.Second

// Guards what must hold under any faults: no task runs twice at once or after
// its end was acknowledged, nothing runs that nobody handed in, and each
// accepted job ends once the faults are over. Hosts are killed and suspended,
// the store goes away and performs commits late, workers crash, are cut off and
// carry starts out late.
func TestSchedulerInvariants(t *testing.T) {
	testseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 3, 4)
		requests := make(map[RequestID]string)
		defer func() {
			if rt.Failed() {
				for req, id := range requests {
					rt.Log(id, w.answers[req].Status, w.progress(id), w.store.get(TableJobs, id) != nil)
				}
				for _, r := range w.records[max(0, len(w.records)-200):] {
					rt.Log(r)
				}
			}
		}()
		w.settled()
		fates := rapid.SampledFrom([]startFate{startAnswered, startAnswered, startAnswered, startUnanswered, startLost, startLate})
		commits := rapid.SampledFrom([]int{commitAnswered, commitAnswered, commitAnswered, commitUnanswered, commitLate})
		faulty := true
		for _, id := range []structs.WorkerID{"w00", "w01", "w02", "w03"} {
			w.workers[id].onStart = func(StartTask) startFate {
				if !faulty {
					return startAnswered
				}
				return fates.Draw(rt, "fate of a start")
			}
		}
		losing := false
		w.store.lose = func(*fakeHost, Commit) int {
			if !losing {
				return commitAnswered
			}
			return commits.Draw(rt, "fate of a commit")
		}
		steps := rapid.IntRange(5, 25).Draw(rt, "steps")
		for i := range steps {
			h := w.hosts[rapid.IntRange(0, 2).Draw(rt, "host")]
			f := w.workers[structs.WorkerID(fmt.Sprintf("w%02d", rapid.IntRange(0, 3).Draw(rt, "worker")))]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2:
				id := fmt.Sprintf("%016x", i+1)
				work := time.Duration(rapid.IntRange(50, 4000).Draw(rt, "work")) * time.Millisecond
				requests[w.submit(h, id, oneStep(rapid.IntRange(1, 5).Draw(rt, "tasks"), work, 1000))] = id
			case 3:
				h.kill()
				w.after(500*time.Millisecond, h.start)
			case 4:
				if h.alive && !h.frozen {
					h.frozen = true
					w.after(4*time.Second, h.thaw)
				}
			case 5:
				w.store.down = !w.store.down
			case 6:
				losing = !losing
			case 7:
				f.cut = !f.cut
			case 8:
				if f.alive {
					f.crash()
					w.after(time.Second, f.boot)
				}
			case 9:
				h.noStore = !h.noStore
			}
			w.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		faulty, losing, w.store.down = false, false, false
		for _, h := range w.hosts {
			h.noStore = false
		}
		for _, f := range w.workers {
			f.cut = false
		}
		w.run(5 * time.Second)
		w.until(healLimit, "the end of all accepted jobs", func() bool {
			for req, id := range requests {
				if w.answers[req].Status == AnswerOK && !w.progress(id).Final() {
					return false
				}
			}
			return true
		})
		for req, id := range requests {
			stored := w.store.get(TableJobs, id) != nil
			switch status := w.answers[req].Status; {
			case status == AnswerOK && w.progress(id) != structs.JobCompleted:
				rt.Fatalf("job %s is %s", id, w.progress(id))
			case status == AnswerNotRun && stored:
				rt.Fatalf("job %s was refused as not run and is stored", id)
			}
		}
	})
}
