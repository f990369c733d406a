package control

import (
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	entryHostsInterval = 30 * time.Second // reads of the entry host rows, to find hosts that no seed leads to
	entryHostRetry     = 1 * time.Second
	entryHostExpiry    = 10 * time.Minute // silence after which the row of a host is deleted and the peer forgotten
)

// readEntryHosts reads the rows of all entry hosts.
func (s *State) readEntryHosts() { s.readList(structs.EntryHostPrefix, entryHostsRead{}) }

// entryHostsRead handles the rows of all entry hosts.
type entryHostsRead struct{}

func (entryHostsRead) listed(s *State, rows []structs.KeyedRow, outcome Outcome) {
	if outcome != OutcomeDone {
		s.setTimer(s.now+entryHostRetry, timerEntryHosts, 0)
		return
	}
	s.setTimer(s.now+entryHostsInterval, timerEntryHosts, 0)
	own := structs.KeyedRow{Key: structs.EntryHostKey(s.self.Host)}
	for _, kr := range rows {
		row, ok := kr.Row.(structs.EntryHostRow)
		if !ok {
			continue
		}
		if row.Host == s.self.Host {
			own = kr
			continue
		}
		s.handleEntryHostRow(kr, row)
	}
	if row, _ := own.Row.(structs.EntryHostRow); row != s.ownEntryHostRow() && !s.drain.active {
		s.writeOwnEntryHostRow(own.Version)
	}
}

// handleEntryHostRow handles another host's row. The eligible host with the
// lowest id deletes the rows of hosts that have been silent for
// entryHostExpiry.
func (s *State) handleEntryHostRow(kr structs.KeyedRow, row structs.EntryHostRow) {
	p := s.members.add(s, row.Address)
	silent := s.now - max(p.heartbeatAt, p.rowSince)
	if p.rowVersion != kr.Version {
		p.rowVersion, p.rowSince, silent = kr.Version, s.now, 0
	}
	if silent < entryHostExpiry || s.members.eligible(s)[0] != s.self.Host {
		return
	}
	s.commit([]structs.Condition{{Key: kr.Key, Version: kr.Version}}, []structs.Write{{Key: kr.Key}}, rowRemoval{})
}

// rowRemoval is a transaction that deletes a row which a later read finds again if
// it fails.
type rowRemoval struct{}

func (rowRemoval) committed(*State, structs.Version)   {}
func (rowRemoval) conflicted(*State, []Conflict, bool) {}
func (rowRemoval) rejected(*State)                     {}
func (rowRemoval) shouldRetry(*State, bool) bool       { return false }

func (s *State) ownEntryHostRow() structs.EntryHostRow {
	return structs.EntryHostRow{
		Host: s.self.Host, Instance: s.self.Instance, Address: s.self.Address, Zone: s.self.Zone,
	}
}

func (s *State) writeOwnEntryHostRow(version structs.Version) {
	key := structs.EntryHostKey(s.self.Host)
	s.commit([]structs.Condition{{Key: key, Version: version}},
		[]structs.Write{{Key: key, Row: s.ownEntryHostRow()}}, ownRowCommit{})
}

// ownRowCommit is the transaction that writes this host's row.
type ownRowCommit struct{}

func (ownRowCommit) committed(*State, structs.Version) {}
func (ownRowCommit) conflicted(s *State, conflicts []Conflict, _ bool) {
	c, ok := findConflict(conflicts, structs.EntryHostKey(s.self.Host))
	if row, _ := c.Row.(structs.EntryHostRow); ok && row.Instance != s.self.Instance {
		s.writeOwnEntryHostRow(c.Version)
	}
}
func (ownRowCommit) rejected(*State)               {} // the next read of the rows tries again
func (ownRowCommit) shouldRetry(*State, bool) bool { return true }
