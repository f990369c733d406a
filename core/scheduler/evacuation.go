package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// The operator requests the evacuation of a zone with a row of its table, and ends it by
// removing the row. Every host follows that table, so that a host that becomes a leader
// knows the evacuated zones already. No task starts there; finite runs end where they are.

// evacuation is the evacuation of one zone.
type evacuation struct {
	version structs.Version // of the operator's row
	seenAt  Instant
}

// IsEvacuationKey reports whether a key of the operator's table requests the evacuation of
// a zone.
func IsEvacuationKey(key string) bool { return strings.HasPrefix(key, evacuationKeyPrefix) }

// applyEvacuationRows applies requests to evacuate zones. The key decides, since a request
// holds until its row is removed, whatever the row contains. After a read of the whole table,
// zones without a row are no longer evacuated.
func (s *State) applyEvacuationRows(rows []Row, all bool) {
	changed := false
	requested := make(map[string]bool)
	for _, r := range rows {
		zone, ok := strings.CutPrefix(r.Key, evacuationKeyPrefix)
		if !ok {
			continue
		}
		if r.Removed {
			changed = s.endEvacuation(zone) || changed
			continue
		}
		requested[zone] = true
		changed = s.beginEvacuation(zone, r.Version) || changed
	}
	if all {
		for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
			if !requested[zone] {
				changed = s.endEvacuation(zone) || changed
			}
		}
	}
	if !changed {
		return
	}
	for _, l := range s.leaders {
		l.evacuationsChanged()
	}
	s.reportEvacuations()
}

// reportEvacuations tells the metrics how far evacuations are, if that has changed.
func (s *State) reportEvacuations() {
	now := EvacuationReport{}
	for zone := range s.evacuations {
		if zone != "" {
			now.Zones++
		}
	}
	for _, l := range s.leaders {
		for _, runs := range l.runsInEvacuatedZones() {
			now.RunsLeft += runs
		}
	}
	if now != s.reportedEvacuations {
		s.reportedEvacuations = now
		s.emit(now)
	}
}

// beginEvacuation records that a zone is evacuated, and reports whether it was not before.
func (s *State) beginEvacuation(zone string, version structs.Version) bool {
	if e := s.evacuations[zone]; e != nil {
		e.version = version
		return false
	}
	s.evacuations[zone] = &evacuation{version: version, seenAt: s.now}
	d := Decision{Part: "config", Action: "evacuation began", Subject: zone, Where: s.self.Host, Number: uint64(version)}
	if zone == "" {
		d.Action, d.Reason = "evacuation ignored", "the row names no zone"
	}
	s.logDecision(d)
	return true
}

// endEvacuation records that a zone is not evacuated, and reports whether it was before.
func (s *State) endEvacuation(zone string) bool {
	e := s.evacuations[zone]
	if e == nil {
		return false
	}
	delete(s.evacuations, zone)
	if zone != "" {
		s.logDecision(Decision{Part: "config", Action: "evacuation ended", Subject: zone, Where: s.self.Host, Number: uint64(e.version), Age: s.now - e.seenAt})
	}
	return true
}

// evacuated reports whether a zone is evacuated. Workers whose zone is not known are in none.
func (s *State) evacuated(zone string) bool { return zone != "" && s.evacuations[zone] != nil }

// inEvacuatedZone reports whether the worker's zone is evacuated.
func (w *worker) inEvacuatedZone() bool { return w.leader.state.evacuated(w.entry.Zone) }

// evacuationsChanged requests a pass: tasks may have to start elsewhere, or may start in a
// zone again.
func (l *leaderState) evacuationsChanged() {
	if l.isLoaded() {
		l.logUnknownZones()
	}
	l.schedule.requestPass()
}

// logUnknownZones logs the evacuated zones without a listed worker. The leader that assigns
// racks does so for all: it knows the workers of all shards.
func (l *leaderState) logUnknownZones() {
	if l.shard != plannerShard {
		return
	}
	zones := make(map[string]bool)
	for _, e := range l.entries {
		zones[e.Zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(l.state.evacuations)) {
		if zone != "" && !zones[zone] {
			l.logOnce(TableOperator, zone, Decision{Part: "config", Action: "unknown zone evacuated", Subject: zone, Number: uint64(l.state.evacuations[zone].version)})
		}
	}
}
