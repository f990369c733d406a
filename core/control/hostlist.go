package control

import (
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
		s.hosts.replace(r.Workers)
		s.hosts.version = r.Version
	}
	s.hosts.readAt = s.now
	s.hostListChanged()
}

// replace stores a newly read list.
func (h *hostList) replace(workers []structs.Worker) {
	h.workers = append(h.workers[:0:0], workers...)
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
