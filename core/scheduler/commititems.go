package scheduler

import (
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// itemKind is the kind of a row in a leader's commit.
type itemKind uint8

const (
	itemUsedWorkers itemKind = iota + 1
	itemPlan
	itemProgress
	itemProgressGroup // a further row of the progress of a job
	itemPressures
	itemRemoval // of a row of the progress of a job that is gone
)

// commitItem is one row of a leader's commit besides the lease.
type commitItem struct {
	kind  itemKind
	job   structs.JobID // of itemProgress and itemProgressGroup
	group int           // of itemProgressGroup
	claim bool          // of itemProgress: it contains a claim that is not stored yet
	write Write
}

// itemList collects the rows of one commit up to its limits.
type itemList struct {
	items   []commitItem
	maxRows int
	bytes   int
}

// add adds a row, and reports whether there was room for it. The first row always fits.
func (i *itemList) add(item commitItem) bool {
	size := rowBytes(item.write.Value)
	if len(i.items) >= i.maxRows || len(i.items) > 0 && i.bytes+size > maxCommitBytes {
		return false
	}
	i.items, i.bytes = append(i.items, item), i.bytes+size
	return true
}

// takeItems removes from the pending changes those that the next commit contains. Newly
// claimed jobs come first among the jobs, since starts wait for them.
func (l *leaderState) takeItems() []commitItem {
	c := &l.commits
	list := itemList{maxRows: maxCommitRows}
	if c.rowLimit > 0 {
		list.maxRows = c.rowLimit
	}
	partition := l.shard.partition()
	if c.usedWorkersChanged && l.isLoaded() {
		used := l.usedWorkers()
		if list.add(commitItem{kind: itemUsedWorkers, write: Write{TableControl, partition, KeyUsedWorkers, used}}) {
			c.usedWorkersChanged = false
			l.usedWorkersSent(used)
		}
	}
	if c.plan != nil && list.add(commitItem{kind: itemPlan, write: Write{TableShards, partition, KeyPlan, *c.plan}}) {
		c.plan = nil
	}
	l.takeProgress(&list)
	l.takePressures(&list)
	for n := 0; n < maxRemovals && len(c.removedProgress) > 0; n++ {
		key := c.removedProgress[0]
		if !l.writesProgress(key) && !list.add(commitItem{kind: itemRemoval, write: Write{TableProgress, partition, key, nil}}) {
			break
		}
		c.removedProgress = c.removedProgress[1:]
	}
	return list.items
}

// writesProgress reports whether a row of progress that was to be removed belongs to a job
// that has come back to the shard, which removes it later.
func (l *leaderState) writesProgress(key string) bool {
	id, further := jobOfProgressGroup(key)
	j := l.jobs[id]
	if j == nil {
		return false
	}
	if group, ok := groupOfKey(key); further && ok {
		j.markGroupStored(group)
	}
	return true
}

// takePressures adds the learned pressures from time to time.
func (l *leaderState) takePressures(list *itemList) {
	if !l.isLoaded() || l.pressuresRejected || l.state.now-l.pressuresWrittenAt < pressuresInterval {
		return
	}
	l.pressuresWrittenAt = l.state.now
	row := pressuresRow(l.interference, l.state.bounds.rowLimit())
	if len(row.Pairs) > 0 {
		list.add(commitItem{kind: itemPressures, write: Write{TableControl, l.shard.partition(), KeyPressures, row}})
	}
}

// putBack returns rows that were not stored to the pending changes.
func (l *leaderState) putBack(items []commitItem) {
	c := &l.commits
	for _, item := range items {
		switch item.kind {
		case itemUsedWorkers:
			c.usedWorkersChanged = true
		case itemPlan:
			if c.plan == nil { // a newer plan contains it
				plan := item.write.Value.(ShardPlanRow)
				c.plan = &plan
			}
		case itemProgress:
			c.dirtyJobs[item.job] = true
			if item.claim {
				c.newClaims[item.job] = true
			}
		case itemProgressGroup:
			if j := l.jobs[item.job]; j != nil {
				j.markGroupDirty(item.group)
				l.markDirty(j)
			}
		case itemRemoval:
			c.removedProgress = append(c.removedProgress, item.write.Key)
		}
	}
}

// itemStored acts on a row that has been stored.
func (l *leaderState) itemStored(item commitItem) {
	switch item.kind {
	case itemUsedWorkers:
		l.usedWorkersStored(item.write.Value.(UsedWorkersRow))
	case itemPlan:
		l.planStored(item.write.Value.(ShardPlanRow))
	case itemProgress:
		j := l.jobs[item.job]
		if j == nil {
			return
		}
		if item.claim {
			j.claimStored = true
			l.schedule.requestPass()
		}
		l.progressStored(j, item.write.Value.(ProgressRow).Progress)
	case itemProgressGroup:
		if j := l.jobs[item.job]; j != nil {
			j.markGroupStored(item.group)
		}
	}
}
