package wire

import "encoding/json"

// Paths of the platform. Rows are listed with the query parameters prefix,
// after and limit.
const (
	PathCommit  = "/v1/commit"   // POST CommitRequest: 200 CommitResponse, 409 CommitConflict
	PathRows    = "/v1/rows"     // GET: 200 RowsResponse
	PathRow     = "/v1/row"      // GET ?key=: 200 Row
	PathObjects = "/v1/objects/" // PUT, GET and DELETE <name>: the object's bytes
	PathHosts   = "/v1/hosts"    // GET, ?known=<version>: 200 HostsResponse
)

// Row is a row of the table service. A row with version 0 or a null value is
// absent.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that a row is at a version; 0 requires that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// CommitRequest is one atomic transaction: all writes take effect if all
// conditions hold, else none.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResponse is the response to an executed transaction. Revision is the new
// version of all rows that it wrote.
type CommitResponse struct {
	Revision uint64 `json:"revision"`
}

// CommitConflict lists the current rows for the conditions that failed.
type CommitConflict struct {
	Conflicts []Row `json:"conflicts"`
}

// RowsResponse is a page of rows in key order.
type RowsResponse struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more"`
}

// Host is an entry of the platform's host list: a worker with its total resources.
type Host struct {
	ID           string `json:"id"`
	Region       string `json:"region"`
	Zone         string `json:"availability_zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"` // IP:port
	State        string `json:"state"`   // live or leaving
	MilliCores   int64  `json:"milli_cores"`
	MemoryMB     int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
}

// HostsResponse is the host list. Its version increases with each change; Hosts is
// empty if the request gave the current version.
type HostsResponse struct {
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
	Hosts     []Host `json:"hosts,omitempty"`
}
