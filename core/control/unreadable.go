package control

import (
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// A row that can't be decoded is left alone and costs what it describes only: a partition
// is not taken over, the slot of a task stays as it is, and the row of a worker is
// restored from those of its tasks, which hold the same commitments.

// maxReportedRows bounds the unreadable rows that are remembered as reported.
const maxReportedRows = 1024

// reportUnreadable records each unreadable row once.
func (s *State) reportUnreadable(rows []structs.KeyedRow) {
	for _, kr := range rows {
		if !kr.Unreadable() || s.store.unreadable[kr.Key] == kr.Version || len(s.store.unreadable) >= maxReportedRows {
			continue
		}
		s.store.unreadable[kr.Key] = kr.Version
		s.recordDecision(DecisionRecord{
			Part: "store", Action: "row cannot be read", Subject: string(kr.Key), Reason: "it is left as it is",
		})
	}
}

// loadUnreadable handles an unreadable row of a partition that is being loaded.
func (s *State) loadUnreadable(o *ownedPartition, key structs.RowKey) {
	if id, ok := strings.CutPrefix(string(key), structs.WorkerKeyPrefix(o.partition.id)); ok {
		o.tasks.addWorker(structs.WorkerID(id)).restoreRow = true
		return
	}
	id := strings.TrimPrefix(string(key), structs.TaskKeyPrefix(o.partition.id))
	o.tasks.unreadable[slotPrefix(structs.TaskID(id))] = true
}

// slotPrefix returns the part of a task's id that names its slot.
func slotPrefix(id structs.TaskID) structs.TaskID {
	dot := strings.LastIndexByte(string(id), '.')
	if i := strings.IndexByte(string(id[dot+1:]), '-'); i >= 0 {
		return id[:dot+1+i]
	}
	return id
}

// restoreRows restores the commitments of workers with unreadable rows. Each commitment
// is written in one transaction with the row of its task.
func (t *taskState) restoreRows() {
	for _, x := range t.all {
		w := t.workers[x.row.Worker]
		if w == nil || !w.restoreRow || !x.placed() {
			continue
		}
		c := structs.Commitment{Task: x.row.Task, Run: x.row.Run, Request: x.row.Request}
		w.row.Commitments = append(w.row.Commitments, c)
		w.committed = w.committed.Add(c.Request)
		w.rowBytes += c.Bytes()
	}
}
