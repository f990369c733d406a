package platform

import (
	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
)

// Event is an input of the reducer. The set of types is closed. Each event but
// TimerFired is answered by exactly one Answer with its exchange.
type Event interface{ isEvent() }

// CommitRequested asks for a conditional transaction.
type CommitRequested struct {
	Exchange exchange.ID
	Request  wire.CommitRequest
}

// RowsRequested asks for a page of rows. Limit 0 means the largest page.
type RowsRequested struct {
	Exchange      exchange.ID
	Prefix, After string
	Limit         int
}

// RowRequested asks for one row.
type RowRequested struct {
	Exchange exchange.ID
	Key      string
}

// ObjectPutRequested stores an object. The reducer keeps the slice.
type ObjectPutRequested struct {
	Exchange exchange.ID
	Name     string
	Bytes    []byte
}

// ObjectDeleteRequested deletes an object.
type ObjectDeleteRequested struct {
	Exchange exchange.ID
	Name     string
}

// ObjectRequested asks for an object.
type ObjectRequested struct {
	Exchange exchange.ID
	Name     string
}

// HostListRequested asks for the host list.
type HostListRequested struct {
	Exchange exchange.ID
	Known    uint64 // version that the client has; 0: none
}

// HostChanged adds or replaces an entry of the host list.
type HostChanged struct {
	Exchange exchange.ID
	Host     wire.Host
}

// FaultsChanged replaces the injected faults.
type FaultsChanged struct {
	Exchange exchange.ID
	Faults   wire.Faults
}

// StatsRequested asks for the request counters.
type StatsRequested struct{ Exchange exchange.ID }

// TimerFired is never due: the platform acts only on requests.
type TimerFired struct{}

func (CommitRequested) isEvent()       {}
func (RowsRequested) isEvent()         {}
func (RowRequested) isEvent()          {}
func (ObjectPutRequested) isEvent()    {}
func (ObjectDeleteRequested) isEvent() {}
func (ObjectRequested) isEvent()       {}
func (HostListRequested) isEvent()     {}
func (HostChanged) isEvent()           {}
func (FaultsChanged) isEvent()         {}
func (StatsRequested) isEvent()        {}
func (TimerFired) isEvent()            {}

// Answer is the only effect: it answers the HTTP request of the exchange.
type Answer struct {
	Exchange exchange.ID
	exchange.Answer
}
