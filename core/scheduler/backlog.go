package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

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

// declaredTaskWork returns the declared work of one task of a step. A task that is restarted
// whenever it ends has none that could be done.
func declaredTaskWork(step *structs.Step) admission.Work {
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
	l.workDone[class].Add(declaredTaskWork(&j.Steps[step]), l.state.now)
}

// addBacklog adds to the load of the shard the backlog of each service that may cause refusals.
func (l *leaderState) addBacklog(row *ShardLoadRow) {
	classes := l.backlog()
	byService := make(map[string][]admission.Class)
	for _, key := range slices.SortedFunc(maps.Keys(classes), classKey.compare) {
		byService[key.service] = append(byService[key.service], *classes[key])
	}
	for service, classes := range byService {
		if !mayCauseRefusals(classes) {
			continue
		}
		load := row.Services[service]
		for i := range classes[:min(len(classes), maxBacklogClasses)] {
			load.Backlog = append(load.Backlog, backlogClass(&classes[i]))
		}
		row.Services[service] = load
		row.MeasuredMS = (l.state.now - l.loadedAt).Milliseconds()
	}
}

// compare orders classes by service, and then with the most urgent first.
func (k classKey) compare(other classKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.priority, other.priority))
}

// minBacklogTime is how long the waiting work of a service takes at least before it is
// published. No job is refused because of a shorter wait.
const minBacklogTime = 2 * time.Second

// mayCauseRefusals reports whether jobs may be refused because of a backlog.
func mayCauseRefusals(classes []admission.Class) bool {
	var work admission.Work
	rate, tasks := 0.0, 0
	for i := range classes {
		c := &classes[i]
		work, rate, tasks = work+c.Waiting, rate+c.CurrentRate(), tasks+c.Tasks
	}
	return tasks > 0 && float64(work) >= rate*minBacklogTime.Seconds() || tasks >= maxWaitingTasks/2
}

// backlog returns the work of each class of the services in which tasks wait.
func (l *leaderState) backlog() map[classKey]*admission.Class {
	classes := make(map[classKey]*admission.Class)
	for _, j := range l.openJobs {
		if j.waitingTasks > 0 && j.schedulable() {
			l.addWaitingWork(classes, j)
		}
	}
	if len(classes) == 0 {
		return nil
	}
	l.addRunning(classes)
	for key, c := range classes {
		if meter := l.workDone[key]; meter != nil {
			c.Rate = meter.Rate(l.state.now)
		}
	}
	return classes
}

// addWaitingWork adds the tasks of a job that have no run.
func (l *leaderState) addWaitingWork(waiting map[classKey]*admission.Class, j *job) {
	work, tasks := l.declaredWaitingWork(j)
	if tasks == 0 {
		return
	}
	key := l.classOf(j)
	c := waiting[key]
	if c == nil {
		c = &admission.Class{Priority: key.priority}
		waiting[key] = c
	}
	c.Tasks += tasks
	c.Waiting += work
	if l.isOnTime(j) {
		c.OnTime[admission.SizeOf(work)] += work
	}
}

// declaredWaitingWork returns the declared work of the tasks of a job that have no run, in
// occurrences that are due, and their number. The rate is measured by declared run times too,
// so that an error that they have in common cancels.
func (l *leaderState) declaredWaitingWork(j *job) (work admission.Work, tasks int) {
	for occurrence, steps := range j.waitingByStep {
		if l.untilDueMS(j, occurrence) > 0 {
			continue
		}
		for i, n := range steps {
			if step := &j.Steps[i]; !step.Persistent {
				tasks += n
				work += declaredTaskWork(step) * admission.Work(n)
			}
		}
	}
	return work, tasks
}

// addRunning adds what runs to the classes of the services with waiting work.
func (l *leaderState) addRunning(classes map[classKey]*admission.Class) {
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
				c = &admission.Class{Priority: key.priority}
				classes[key] = c
			}
			c.Running += r.step.Request.MilliCores
		}
	}
}

// backlogClass returns the entry of a row for a class. Work in rows is in core-seconds.
func backlogClass(c *admission.Class) BacklogClass {
	out := BacklogClass{Priority: c.Priority, Waiting: int64(c.Waiting / admission.CoreSecond), Tasks: c.Tasks, Rate: int64(c.Rate)}
	if out.Rate == 0 {
		out.Running = c.Running
	}
	for size, work := range c.OnTime {
		if work >= admission.CoreSecond {
			out.OnTime = append(out.OnTime, make([]int64, size+1-len(out.OnTime))...)
			out.OnTime[size] = int64(work / admission.CoreSecond)
		}
	}
	return out
}

// class returns the class of an entry of a row.
func (b *BacklogClass) class() admission.Class {
	c := admission.Class{Priority: b.Priority, Waiting: admission.Work(b.Waiting) * admission.CoreSecond, Tasks: b.Tasks, Running: b.Running, Rate: float64(b.Rate)}
	for size, work := range b.OnTime[:min(len(b.OnTime), admission.Sizes)] {
		c.OnTime[size] = admission.Work(work) * admission.CoreSecond
	}
	return c
}
