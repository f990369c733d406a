package scheduler

import (
	"cmp"
	"slices"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// maxBacklogClasses bounds the priorities of one service in the load of a shard. The least
// urgent ones are left out.
const maxBacklogClasses = 8

// classKey identifies the work of one priority of a service.
type classKey struct {
	service  string
	priority int
}

func (l *leaderState) classOf(j *job) classKey {
	policy := l.state.config.policyOf(&j.Job)
	return classKey{policy.Service, policy.Priority}
}

// taskWork returns the declared work of one task of a step. A task that is restarted
// whenever it ends has none that could be done.
func taskWork(step *structs.Step) admission.Work {
	if step.Persistent {
		return 0
	}
	return admission.Work(float64(step.Request.MilliCores) * step.Estimate.Seconds())
}

// meterWork records the work of a task that is done.
func (l *leaderState) meterWork(j *job, step int) {
	if l.workDone == nil {
		l.workDone = make(map[classKey]*admission.Meter)
	}
	class := l.classOf(j)
	if l.workDone[class] == nil {
		l.workDone[class] = &admission.Meter{}
	}
	l.workDone[class].Add(taskWork(&j.Steps[step]), l.state.now)
}

// addBacklog adds the backlog of each service with waiting work to the load of the shard.
func (l *leaderState) addBacklog(row *ShardLoadRow) {
	waiting := make(map[classKey]*BacklogClass)
	for _, j := range l.openJobs {
		if j.waitingTasks > 0 && j.schedulable() {
			l.addWaitingWork(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	l.addRunning(waiting)
	for class, c := range waiting {
		if meter := l.workDone[class]; meter != nil {
			c.Rate = int64(meter.Rate(l.state.now))
		}
		load := row.Services[class.service]
		load.Backlog = append(load.Backlog, *c)
		row.Services[class.service] = load
	}
	for service, load := range row.Services {
		slices.SortFunc(load.Backlog, func(a, b BacklogClass) int { return cmp.Compare(a.Priority, b.Priority) })
		load.Backlog = load.Backlog[:min(len(load.Backlog), maxBacklogClasses)]
		row.Services[service] = load
	}
	row.MeasuredMS = (l.state.now - l.loadedAt).Milliseconds()
}

// addWaitingWork adds the tasks of a job that have no run.
func (l *leaderState) addWaitingWork(waiting map[classKey]*BacklogClass, j *job) {
	work, tasks := l.waitingWork(j)
	if tasks == 0 {
		return
	}
	key := l.classOf(j)
	c := waiting[key]
	if c == nil {
		c = &BacklogClass{Priority: key.priority}
		waiting[key] = c
	}
	c.Tasks += tasks
	c.Waiting += work
	if l.state.now <= j.softDeadline {
		c.OnTime[admission.SizeOf(work)] += work
	}
}

// waitingWork returns the work of the tasks of a job that have no run, in occurrences that
// are due, and their number.
func (l *leaderState) waitingWork(j *job) (work admission.Work, tasks int) {
	for occurrence, steps := range j.waitingByStep {
		if l.untilDueMS(j, occurrence) > 0 {
			continue
		}
		for i, n := range steps {
			if step := &j.Steps[i]; !step.Persistent {
				tasks += n
				work += taskWork(step) * admission.Work(n)
			}
		}
	}
	return work, tasks
}

// addRunning adds what runs to the classes of the services with waiting work.
func (l *leaderState) addRunning(classes map[classKey]*BacklogClass) {
	services := make(map[string]bool)
	for key := range classes {
		services[key.service] = true
	}
	for _, id := range l.workerIDs {
		for _, r := range l.workers[id].runs {
			if r.step.Persistent {
				continue
			}
			key := l.classOf(r.job)
			if !services[key.service] {
				continue
			}
			c := classes[key]
			if c == nil {
				c = &BacklogClass{Priority: key.priority}
				classes[key] = c
			}
			c.Running += r.step.Request.MilliCores
		}
	}
}
