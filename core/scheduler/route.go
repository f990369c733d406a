package scheduler

import (
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// freshLoadTime is how long the loads of shards are reused to choose the shard of a
// job.
const freshLoadTime = 150 * time.Millisecond

// chooseShard returns the shard for a new job: the one with more room of two that are
// drawn at random from those that can run it. Loads are some tenths of a second old,
// so that the best of all shards would be chosen by all hosts at once.
func (s *State) chooseShard(j *structs.Job) ShardID {
	n := s.shards.count()
	if n == 1 {
		return 0
	}
	service := s.config.policyOf(j).Service
	candidates := s.shards.candidates(j, service, s.now)
	if len(candidates) == 0 {
		return ShardID(s.draw() % uint64(n))
	}
	best := candidates[s.draw()%uint64(len(candidates))]
	if other := candidates[s.draw()%uint64(len(candidates))]; s.shards.room(other, j, service) > s.shards.room(best, j, service) {
		best = other
	}
	return best
}

// candidates returns the shards of which that of a new job is chosen. Without any, it is one of
// all shards.
func (v *shardView) candidates(j *structs.Job, service string, now Instant) []ShardID {
	led, suitable := v.suitable(j, service, now)
	if len(suitable) > 0 {
		return suitable
	}
	return led
}

// suitable returns the shards with leaders that have workers for a job, and those of
// them that have room for its first step and all labels that it names.
func (v *shardView) suitable(j *structs.Job, service string, now Instant) (led, suitable []ShardID) {
	for id := range ShardID(v.count()) {
		load, ok := v.loads[id]
		if !ok || load.AtMS == 0 || v.age(load, now) > maxLoadAge {
			continue
		}
		if _, ok := load.Services[service]; !ok || !load.hasLabels(j, false) {
			continue
		}
		led = append(led, id)
		if v.room(id, j, service) >= 0 && load.hasLabels(j, true) {
			suitable = append(suitable, id)
		}
	}
	return led, suitable
}

// hasLabels reports whether workers of the shard have the labels that the steps of a
// job require and, if asked, the racks with its data.
func (load *ShardLoadRow) hasLabels(j *structs.Job, dataRacks bool) bool {
	for _, step := range j.Steps {
		if !load.hasLabel(step.Label) {
			return false
		}
		if dataRacks && step.DataRack != "" && !slices.Contains(load.Labels, step.DataRack) {
			return false
		}
	}
	return true
}

// hasLabel reports whether a worker of the shard has a label; all have the empty one.
func (load *ShardLoadRow) hasLabel(label string) bool {
	return label == "" || slices.Contains(load.Labels, label)
}

// room returns how much room a shard has left for a job once the tasks of its first
// step run.
func (v *shardView) room(id ShardID, j *structs.Job, service string) int64 {
	load := v.loads[id].Services[service]
	return load.roomFor(&j.Steps[0], j.Steps[0].Count)
}
