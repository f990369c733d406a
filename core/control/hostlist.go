package control

import (
	"fmt"
	"sort"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	hostListInterval = 2 * time.Second
	hostListTimeout  = 2 * time.Second
)

// hostList is the platform's list of hosts as last read.
type hostList struct {
	version uint64
	workers []structs.Worker // by id
	byID    map[structs.WorkerID]int
	readAt  Instant
}

// pollHostList reads the platform's list of hosts.
func (s *State) pollHostList() {
	s.emit(ReadHostList{ID: s.effectID(hostListRead{}), Known: s.hosts.version, Timeout: hostListTimeout})
}

type hostListRead struct{}

func (hostListRead) complete(s *State, result EventBody) {
	s.setTimer(s.now+hostListInterval, timerHostList, 0)
	r := result.(HostListRead)
	if r.Outcome != OutcomeDone {
		return
	}
	if !r.Unchanged {
		s.replaceHostList(r.Workers)
		s.hosts.version = r.Version
	}
	s.hosts.readAt = s.now
	s.hostListChanged()
}

// replaceHostList stores a newly read list without the entries that can't be used.
func (s *State) replaceHostList(workers []structs.Worker) {
	usable := make([]structs.Worker, 0, len(workers))
	for _, w := range workers {
		if usableEntry(w) {
			usable = append(usable, w)
		}
	}
	s.hosts.replace(usable)
	if unusable := len(workers) - len(usable); unusable > 0 {
		s.recordDecision(DecisionRecord{
			Part: "worker", Action: "entries not used", Subject: "host list",
			Reason: fmt.Sprintf("%d entries have no id, or an id or place of more than %d bytes", unusable, structs.MaxWorkerIDBytes),
		})
	}
}

// usableEntry reports whether a listed worker's id and place fit into keys, rows and
// messages. One long entry must not make the store refuse those of others.
func usableEntry(w structs.Worker) bool {
	for _, text := range [...]string{string(w.ID), w.Region, w.Zone, w.Rack, w.Address} {
		if len(text) > structs.MaxWorkerIDBytes {
			return false
		}
	}
	return w.ID != ""
}

// replace stores the usable entries of a list.
func (h *hostList) replace(workers []structs.Worker) {
	h.workers = workers
	sort.Slice(h.workers, func(i, j int) bool { return h.workers[i].ID < h.workers[j].ID })
	h.byID = make(map[structs.WorkerID]int, len(h.workers))
	for i, w := range h.workers {
		h.byID[w.ID] = i
	}
}

// worker returns the listed worker with the id.
func (h *hostList) worker(id structs.WorkerID) (structs.Worker, bool) {
	i, ok := h.byID[id]
	if !ok {
		return structs.Worker{}, false
	}
	return h.workers[i], true
}
