package structs

// RowKind tells what a row of the sheet describes.
type RowKind string

// The kinds of row.
const (
	KindService RowKind = "service" // long-running replicas that answer calls
	KindBatch   RowKind = "batch"   // tasks that run to completion
	KindTeam    RowKind = "team"    // the quota of a team; Request is the limit
)

// Importance ranks work that competes for the same capacity.
type Importance int

// The levels of importance, lowest first.
const (
	ImportanceLow Importance = iota
	ImportanceNormal
	ImportanceHigh
	ImportanceUrgent
)

// SheetRow is one accepted row of the sheet. Name is unique in a sheet.
type SheetRow struct {
	Name            string     `json:"name"`
	Kind            RowKind    `json:"kind"`
	Team            string     `json:"team,omitempty"`
	Command         string     `json:"command,omitempty"`
	Importance      Importance `json:"importance"`
	Count           int        `json:"count"`                       // replicas or tasks
	Request         Resources  `json:"request"`                     // per replica or task
	DeadlineUnixMS  int64      `json:"deadline_unix_ms,omitempty"`  // 0: none
	RunTimeMS       int64      `json:"run_time_ms,omitempty"`       // declared run time of one task; 0: unknown
	LatencyTargetMS int64      `json:"latency_target_ms,omitempty"` // of a service; 0: none
	Idempotent      bool       `json:"idempotent,omitempty"`        // every call of the service may be repeated
}

// Configuration is an accepted sheet. Rows are sorted by name.
type Configuration struct {
	Generation Generation `json:"generation"`
	Author     string     `json:"author"`
	Rows       []SheetRow `json:"rows"`
	Stopped    []string   `json:"stopped,omitempty"` // names of rows that an operator stopped, sorted
}
