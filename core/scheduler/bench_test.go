package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// BenchmarkBusyLeader measures the control loop of a leader with 350 workers,
// serving tasks on most of them, and more best-effort tasks than can be placed. It
// reports the CPU time per second of simulated time, which must stay well below the
// share of a core that a host has.
func BenchmarkBusyLeader(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		sim := newSimulation(b, 1, 350)
		for _, f := range sim.workers {
			f.capacity = structs.Resources{MilliCores: 32000, MemoryMB: 128000}
			f.writeEntry(false)
			f.gauge = func(r *fakeRun) int64 {
				if r.step.TailTarget > 0 {
					return 12
				}
				return 3000
			}
		}
		sim.waitForLeader()
		id := 0
		submit := func(job structs.Job) {
			id++
			sim.submit(sim.hosts[0], fmt.Sprintf("%016x", id), job)
		}
		for i := range 90 {
			job := singleStepJob(14, 300*time.Millisecond, 6400)
			job.Steps[0].Persistent, job.Steps[0].TailTarget = true, 24*time.Millisecond
			job.Steps[0].Image = fmt.Sprintf("serving%d", i%5)
			submit(job)
		}
		sim.advance(2 * time.Second)
		b.StartTimer()
		for i := range 100 {
			for range 3 {
				job := singleStepJob(20, 2300*time.Millisecond, 3500)
				job.Steps[0].BestEffort, job.Steps[0].Image = true, fmt.Sprintf("besteffort%d", i%9)
				submit(job)
				submit(singleStepJob(10, 540*time.Millisecond, 4100))
			}
			sim.advance(100 * time.Millisecond)
		}
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/10, "s/s")
}

// BenchmarkPass measures one scheduling pass over 1,100 full workers, with 1,000 and with
// 10,000 tasks that wait, one explanation there, and the order of the waiting jobs alone
// beside the former one by deadlines.
func BenchmarkPass(b *testing.B) {
	const tasksPerJob = 20
	for _, waiting := range []int{1_000, 10_000} {
		sim := newSimulation(b, 1, 1100)
		sim.advance(3 * time.Second) // until the leader has read the lists of all workers
		l := sim.leader().state.leaderOf(0)
		for _, id := range l.workerIDs {
			l.workers[id].reserved = l.workers[id].entry.Capacity
		}
		for i := range waiting / tasksPerJob {
			job := singleStepJob(tasksPerJob, time.Duration(1+i%7)*time.Second, 2000+int64(i%13)*100)
			job.ID, job.Queue = structs.JobID(fmt.Sprintf("%016x", i)), queueName
			l.addJob(job, 1)
		}
		b.Run(fmt.Sprintf("pass/%d", waiting), func(b *testing.B) {
			for b.Loop() {
				l.runPass()
			}
		})
		b.Run(fmt.Sprintf("order/%d", waiting), func(b *testing.B) {
			for b.Loop() {
				l.waitingJobs(sim.now)
			}
		})
		b.Run(fmt.Sprintf("explain/%d", waiting), func(b *testing.B) {
			for b.Loop() {
				sim.explain(sim.leader(), "/q/", singleStepJob(tasksPerJob, time.Second, 2000))
			}
		})
		b.Run(fmt.Sprintf("former-order/%d", waiting), func(b *testing.B) {
			for b.Loop() {
				l.byDeadline(sim.now)
			}
		})
	}
}

// byDeadline orders the waiting jobs by priority, by whether they are late and by
// declared deadline, as before core/ordering.
func (l *leaderState) byDeadline(now Instant) []*job {
	deadline := func(j *job) Instant {
		return j.submittedAt + objective(l.state.config.policyOf(&j.Job), declaredCriticalPath(j.Steps))
	}
	deadlines := make(map[*job]Instant)
	var jobs []*job
	for _, j := range l.openJobs {
		if j.waitingTasks > 0 && j.schedulable() {
			jobs, deadlines[j] = append(jobs, j), deadline(j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		pa, pb := l.state.config.policyOf(&a.Job).Priority, l.state.config.policyOf(&b.Job).Priority
		late := func(j *job) int {
			if now > deadlines[j] {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(pa, pb), cmp.Compare(late(a), late(b)), cmp.Compare(deadlines[a], deadlines[b]), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}
