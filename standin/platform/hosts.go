package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
)

const maxHostChanges = 4096 // changes that are kept to answer with an earlier state of the list

// hostList keeps the history of the host list, so that a read can return an
// earlier state.
type hostList struct {
	base    map[string]wire.Host // state before the kept changes
	changes []hostChange         // oldest first
	merged  int                  // number of changes merged into base
}

type hostChange struct {
	at   time.Duration
	host wire.Host
}

// record adds a change. When the history is full, the oldest change is merged
// into the base.
func (l *hostList) record(now time.Duration, h wire.Host) {
	if l.base == nil {
		l.base = make(map[string]wire.Host)
	}
	l.changes = append(l.changes, hostChange{at: now, host: h})
	if len(l.changes) > maxHostChanges {
		l.base[l.changes[0].host.ID] = l.changes[0].host
		l.changes = slices.Delete(l.changes, 0, 1)
		l.merged++
	}
}

// answer returns the list as it was at the given time, or only its version if
// that is the known one. Version 1 is the empty list.
func (l *hostList) answer(at time.Duration, known uint64) wire.HostsResponse {
	version := uint64(1 + l.merged)
	for _, c := range l.changes {
		if c.at <= at {
			version++
		}
	}
	if version == known {
		return wire.HostsResponse{Version: version, Unchanged: true}
	}
	return wire.HostsResponse{Version: version, Hosts: l.stateAt(at)}
}

// stateAt returns the list as it was at the given time, sorted by ID.
func (l *hostList) stateAt(at time.Duration) []wire.Host {
	state := make(map[string]wire.Host, len(l.base)+len(l.changes))
	for id, h := range l.base {
		state[id] = h
	}
	for _, c := range l.changes {
		if c.at <= at {
			state[c.host.ID] = c.host
		}
	}
	hosts := make([]wire.Host, 0, len(state))
	for _, h := range state {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b wire.Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts
}
