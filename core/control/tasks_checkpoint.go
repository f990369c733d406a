package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// Checkpoints stay in the object store until they are deleted, so an owner deletes each
// one that no row names any more. An object that a worker writes after that, or whose
// deletion fails, stays.

// dropCheckpoint removes the checkpoint from the task's row. It is deleted once the row
// is durable.
func (t *task) dropCheckpoint() {
	if t.row.Checkpoint != "" {
		t.unusedCheckpoints = append(t.unusedCheckpoints, t.row.Checkpoint)
		t.row.Checkpoint = ""
	}
}

// deleteUnusedCheckpoints deletes the checkpoints that the durable row of a task no
// longer names.
func (s *State) deleteUnusedCheckpoints(t *task) {
	if t.row.Phase == structs.TaskMoved {
		return // another partition may have taken the task with its checkpoint
	}
	for _, name := range t.unusedCheckpoints {
		if name != t.row.Checkpoint {
			s.emit(DeleteObject{ID: s.effectID(nil), Name: name, Timeout: objectTimeout})
		}
	}
	t.unusedCheckpoints = nil
}
