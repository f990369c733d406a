package wire

import "github.com/tamarackstep/tamarackstep/core/structs"

// Paths of the operator listener of an entry host. Response bodies are the reply
// types of core/control, or ErrorResponse. An ErrorResponse with a status of 4xx or 503
// means that a change was certainly not accepted.
const (
	PathPlan     = "/v1/plan"      // POST ApplyRequest: ApplyReply
	PathApply    = "/v1/apply"     // POST ApplyRequest: ApplyReply; 409 when refused
	PathStatus   = "/v1/status"    // GET: StatusReply
	PathExplain  = "/v1/explain"   // GET ?subject=: ExplainReply
	PathStopRows = "/v1/stop-work" // POST StopRequest: ApplyReply
	PathDrain    = "/v1/drain"     // POST: DrainReply
	PathHealth   = "/healthz"      // 200 while the process runs
	PathReady    = "/readyz"       // 200 while the balancer may send calls
	PathMetrics  = "/metrics"
)

// PathExplainJob is a path of the metrics listener of a host on the users' platform. It takes a
// job as callers submit it, and the host name and path of its queue in the query. It is internal
// to hosts and tamarackctl of one version.
const PathExplainJob = "/explain" // POST ?host=&path=: scheduler.Explanation, or ErrorResponse

// HeaderOperatorToken authenticates an operator's request if the settings contain
// a token.
const HeaderOperatorToken = "Tamarackstep-Operator-Token"

// ApplyRequest asks an entry host to plan or accept a sheet. tamarackctl has parsed
// and validated it; the entry host validates the rows again.
type ApplyRequest struct {
	Author          string             `json:"author"`
	Rows            []structs.SheetRow `json:"rows"`
	Base            uint64             `json:"base,omitempty"`             // generation that the plan was made for; 0: the newest
	ConfirmRemovals int                `json:"confirm_removals,omitempty"` // number of running rows that the operator agrees to remove
}

// StopRequest stops or resumes rows of the sheet.
type StopRequest struct {
	Author string   `json:"author"`
	Rows   []string `json:"rows"`
	Resume bool     `json:"resume,omitempty"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
