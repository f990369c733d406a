// Package trace explains what happened to a job, task, worker or shard from the
// log lines of all hosts. It is a reducer: Survey and Gather take one event after
// another, Analyse returns the findings as data. It reads no file and prints
// nothing.
package trace

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/tamarackstep/tamarackstep/cli/internal/logline"
)

// Kind is what a subject is.
type Kind string

// The kinds of subjects.
const (
	KindJob    Kind = "job"
	KindTask   Kind = "task"
	KindWorker Kind = "worker"
	KindShard  Kind = "shard"
)

// Subject is what a trace is about.
type Subject struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"` // as the logs name it
}

var (
	jobPattern    = regexp.MustCompile(`^[0-9a-f]{16}$`)
	taskPattern   = regexp.MustCompile(`^[0-9a-f]{16}\.[0-9]+\.[0-9]+\.[0-9]+$`)
	workerPattern = regexp.MustCompile(`^i-[0-9a-z]+$`)
	shardPattern  = regexp.MustCompile(`^shard[ -]?([0-9]+)$`)
)

// ParseSubject returns the subject that an id names.
func ParseSubject(id string) (Subject, error) {
	switch {
	case jobPattern.MatchString(id):
		return Subject{KindJob, id}, nil
	case taskPattern.MatchString(id):
		return Subject{KindTask, id}, nil
	case workerPattern.MatchString(id):
		return Subject{KindWorker, id}, nil
	}
	if m := shardPattern.FindStringSubmatch(id); m != nil {
		return Subject{KindShard, "shard " + m[1]}, nil
	}
	return Subject{}, fmt.Errorf("%q names no job (16 hexadecimal digits), task (JOB.OCCURRENCE.STEP.INDEX), worker (i-...) or shard (shard-N)", id)
}

// job returns the job of a job or task, otherwise an empty name.
func (s Subject) job() string {
	if s.Kind == KindJob || s.Kind == KindTask {
		return jobOf(s.Name)
	}
	return ""
}

// names reports whether an event names the subject. The lines of a task include
// those of its job, but not those of other tasks.
func (s Subject) names(e logline.Event) bool {
	switch s.Kind {
	case KindJob:
		return jobOf(e.Subject) == s.Name || jobOf(e.Where) == s.Name
	case KindTask:
		return e.Subject == s.Name || e.Where == s.Name || e.Subject == s.job()
	case KindShard:
		return e.Part == "leader" && e.Reason == s.Name || e.Where == s.Name
	}
	return e.Subject == s.Name || e.Where == s.Name
}

// jobOf returns the job of the name of a job or task.
func jobOf(name string) string {
	job, _, _ := strings.Cut(name, ".")
	return job
}
