package scheduler

import (
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// configState is the newest configuration that the host has seen.
type configState struct {
	current structs.QueueConfiguration
	loaded  bool
	byName  map[string]*structs.Queue
	// services are those that the configuration lists or sends queues to.
	services map[string]bool

	unreadable structs.Version // of the last row that could not be read
}

func (c *configState) known() bool { return c.loaded }

// applyOperatorRows applies rows of the operator's table.
func (s *State) applyOperatorRows(rows []Row, all bool) {
	s.applyConfigRows(rows)
	s.applyEvacuationRows(rows, all)
}

// applyConfigRows applies configurations. A version that is not higher than the current
// one is ignored, so that a configuration never reverts.
func (s *State) applyConfigRows(rows []Row) {
	for _, r := range rows {
		if r.Key != KeyConfiguration {
			continue
		}
		v, ok := r.Value.(ConfigurationRow)
		if !ok {
			if s.config.unreadable == r.Version {
				continue
			}
			s.config.unreadable = r.Version
			s.logDecision(Decision{Part: "config", Action: "configuration cannot be read, keeping the current one", Subject: r.Key, Number: uint64(r.Version)})
			continue
		}
		s.applyConfig(v.QueueConfiguration)
	}
}

func (s *State) applyConfig(c structs.QueueConfiguration) {
	if s.config.loaded && c.Number <= s.config.current.Number {
		return
	}
	s.config = configState{current: c, loaded: true, byName: make(map[string]*structs.Queue, len(c.Queues)), services: make(map[string]bool)}
	for i := range c.Queues {
		s.config.byName[c.Queues[i].Name] = &c.Queues[i]
		s.config.services[c.Queues[i].Policy.Service] = true
	}
	for _, service := range c.Services {
		s.config.services[service] = true
	}
	s.logDecision(Decision{Part: "config", Action: "configuration in force", Subject: s.self.Host, Number: c.Number})
	for _, l := range s.leaders {
		l.configChanged()
	}
}

// namesService reports whether the configuration names a service.
func (c *configState) namesService(service string) bool { return c.services[service] }

// queueOf returns the queue of a request and the rest of its path. The longest
// matching prefix decides.
func (c *configState) queueOf(host, path string) (*structs.Queue, string) {
	var best *structs.Queue
	for i := range c.current.Queues {
		q := &c.current.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

// policyOf returns the current policy of a job's queue. If the queue has been
// removed, it returns the policy under which the job was accepted.
func (c *configState) policyOf(j *structs.Job) *structs.Policy {
	if q := c.byName[j.Queue]; q != nil {
		return &q.Policy
	}
	return &j.Policy
}
