package control

import (
	"fmt"
	"time"

	"github.com/tamarackstep/tamarackstep/core/sheet"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

const (
	configPollInterval    = 2 * time.Second
	configRetryInterval   = 500 * time.Millisecond
	maxConfigHistory      = 256    // changes kept in memory to merge with; 80 min at 4,500 changes a day
	maxHistoryRows        = 40_000 // rows in these changes; a whole sheet may change at once
	objectTimeout         = 2 * time.Second
	configRequestInterval = 1 * time.Second // least time between requests to peers; each answer may carry a whole sheet
)

// configState is the configuration in force on this host and the pending
// changes to it.
//
// Invariant: current.Generation never goes down.
type configState struct {
	current         structs.Configuration
	headVersion     structs.Version
	head            structs.ConfigHead
	headRead        bool
	fetching        bool
	history         []configChange  // changes that led to current, oldest first
	historyRows     int             // in all changes of history
	applies         []*pendingApply // queued requests; the first is in progress
	applyWaiting    bool            // the first apply waits for the newest configuration
	lastAttempt     uint64          // last attempt number used by commits of this instance
	peerRequestedAt Instant         // last request to a peer
	peerRequested   bool
}

// ready reports whether this host may serve: it has a configuration, or has
// read that none was ever accepted.
func (s *State) ready() bool {
	return s.config.current.Generation > 0 || s.config.headRead && s.config.headVersion == 0
}

// row returns the row with the name from the configuration in force.
func (c *configState) row(name string) (structs.SheetRow, bool) {
	return sheet.Find(c.current.Rows, name)
}

// pollConfigHead reads the head row, in case a push was missed.
func (s *State) pollConfigHead() {
	s.setTimer(s.now+configPollInterval, timerConfigPoll, 0)
	s.emit(ReadRows{
		ID: s.effectID(configHeadRead{}), Prefix: string(structs.ConfigHeadKey), Limit: 1, Timeout: storeTimeout,
	})
}

type configHeadRead struct{}

func (configHeadRead) complete(s *State, result EventBody) {
	r := result.(RowsRead)
	s.observeStore(r.Outcome)
	if r.Outcome != OutcomeDone {
		return
	}
	var head structs.KeyedRow
	if len(r.Rows) > 0 {
		head = r.Rows[0]
	}
	s.handleConfigHead(head)
}

// handleConfigHead stores the head row and fetches the configuration that it
// names if that is newer than the one in force.
func (s *State) handleConfigHead(read structs.KeyedRow) {
	row, _ := read.Row.(structs.ConfigHead)
	if read.Unreadable() {
		return // the configuration in force stays
	}
	if s.config.headRead && read.Version < s.config.headVersion {
		return
	}
	s.config.headRead, s.config.head, s.config.headVersion = true, row, read.Version
	if row.Generation > s.config.current.Generation {
		s.fetchConfiguration()
	}
}

// fetchConfiguration reads the newest configuration from the object store.
func (s *State) fetchConfiguration() {
	if s.config.fetching || s.config.head.Generation <= s.config.current.Generation {
		return
	}
	s.config.fetching = true
	s.emit(ReadObject{ID: s.effectID(configRead{}), Name: s.config.head.Object, Timeout: objectTimeout})
}

type configRead struct{}

func (configRead) complete(s *State, result EventBody) {
	r := result.(ObjectRead)
	s.config.fetching = false
	if r.Outcome != OutcomeDone {
		s.setTimer(s.now+configRetryInterval, timerRetryConfig, 0)
		return
	}
	s.activateConfiguration(r.Configuration, "object store")
}

// activateConfiguration puts a configuration in force if it is newer than the
// current one.
func (s *State) activateConfiguration(c structs.Configuration, from string) {
	if c.Generation <= s.config.current.Generation {
		return
	}
	if s.config.current.Generation > 0 {
		s.config.appendHistory(c)
	}
	s.config.current = c
	s.recordDecision(DecisionRecord{
		Part: "config", Action: "in force", Subject: fmt.Sprintf("generation %d", c.Generation),
		Where: string(s.self.Host), Reason: fmt.Sprintf("%d rows by %s, from %s", len(c.Rows), c.Author, from),
	})
	s.configChanged()
	s.resumeApply()
}

// configChange is one past change of the configuration in force. It stores the
// difference, since whole sheets of 11,000 rows would take 2 MB each.
type configChange struct {
	author string      // of the change
	undo   ConfigDelta // turns the later generation into the earlier one
}

// appendHistory stores the change from the configuration in force to the next
// one and drops the oldest changes beyond maxConfigHistory and maxHistoryRows.
func (c *configState) appendHistory(next structs.Configuration) {
	change := configChange{author: next.Author, undo: deltaOf(next, c.current)}
	c.historyRows += change.rows()
	first := 0
	for len(c.history)-first >= maxConfigHistory || c.historyRows > maxHistoryRows && first < len(c.history) {
		c.historyRows -= c.history[first].rows()
		first++
	}
	c.history = append(append(c.history[:0:0], c.history[first:]...), change)
}

// rows returns the number of rows that the change holds.
func (c *configChange) rows() int { return len(c.undo.Set) + len(c.undo.Removed) + len(c.undo.Stopped) }

// generation returns the configuration of a generation, reconstructed from the
// history; 0 means the one in force. It reports false for a generation that is
// no longer in the history.
func (c *configState) generation(g structs.Generation) (structs.Configuration, bool) {
	if g == 0 || g == c.current.Generation {
		return c.current, true
	}
	rows := c.current.Rows
	for i := len(c.history) - 1; i >= 0; i-- {
		undo := c.history[i].undo
		rows = sheet.Patch(rows, undo.Set, undo.Removed)
		if undo.Generation == g {
			return structs.Configuration{Generation: g, Author: undo.Author, Rows: rows, Stopped: undo.Stopped}, true
		}
	}
	return structs.Configuration{}, false
}

// deltaOf returns the message that turns one configuration into its successor.
func deltaOf(before, after structs.Configuration) ConfigDelta {
	d := ConfigDelta{
		Base: before.Generation, Generation: after.Generation, Author: after.Author, Stopped: after.Stopped,
	}
	for _, c := range sheet.Diff(before.Rows, after.Rows) {
		if c.After == nil {
			d.Removed = append(d.Removed, c.Name)
		} else {
			d.Set = append(d.Set, *c.After)
		}
	}
	return d
}

// receiveDelta applies a delta to the configuration in force. A host that has
// another base learns of the generation from a heartbeat and requests the whole
// configuration.
func (s *State) receiveDelta(d ConfigDelta) {
	if d.Base != s.config.current.Generation {
		return
	}
	s.activateConfiguration(structs.Configuration{
		Generation: d.Generation, Author: d.Author, Stopped: d.Stopped,
		Rows: sheet.Patch(s.config.current.Rows, d.Set, d.Removed),
	}, "peer")
}

// requestConfiguration asks a peer with a newer generation for its
// configuration.
func (s *State) requestConfiguration(address string) {
	if s.config.peerRequested && s.now-s.config.peerRequestedAt < configRequestInterval {
		return
	}
	s.config.peerRequested, s.config.peerRequestedAt = true, s.now
	s.emit(SendPeer{
		ID: s.effectID(nil), Address: address,
		Message: ConfigRequest{Address: s.self.Address}, Timeout: peerTimeout,
	})
}

func (s *State) sendConfigurationTo(address string) {
	if s.config.current.Generation == 0 {
		return
	}
	s.emit(SendPeer{
		ID: s.effectID(nil), Address: address,
		Message: ConfigPush{Configuration: s.config.current}, Timeout: peerTimeout,
	})
}
