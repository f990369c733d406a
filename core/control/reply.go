package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// Reply is the content of an OperatorReply. The set of types is closed.
type Reply interface{ isReply() }

// RowChange is one difference between two configurations.
type RowChange struct {
	Name   string            `json:"name"`
	Kind   string            `json:"change"` // added, changed, removed
	Before *structs.SheetRow `json:"before,omitempty"`
	After  *structs.SheetRow `json:"after,omitempty"`
}

// ApplyReply answers ApplyRequested and StopRequested.
type ApplyReply struct {
	Accepted    bool               `json:"accepted"` // committed; false for a plan or a refusal
	Generation  structs.Generation `json:"generation"`
	Base        structs.Generation `json:"base"`
	Changes     []RowChange        `json:"changes"`
	Conflicts   []RowChange        `json:"conflicts,omitempty"` // rows that another operator also changed, with that operator's change
	OtherAuthor string             `json:"other,omitempty"`     // authors of the conflicting changes
	Reason      string             `json:"reason,omitempty"`    // why it was refused
	Outcome     Outcome            `json:"outcome"`             // unknown: the store did not say whether it was committed

	RunningRowsRemoved int `json:"removed"`                    // running rows that the sheet removes
	RunningRows        int `json:"running"`                    // running rows before the change
	ConfirmRemovals    int `json:"confirm_removals,omitempty"` // number of removals that an apply of this sheet must confirm; 0: none
}

// PartitionStatus is one line of StatusReply.
type PartitionStatus struct {
	Partition structs.PartitionID `json:"partition"`
	Owner     structs.HostID      `json:"owner"`
	Epoch     structs.Epoch       `json:"epoch"`
	Pending   int                 `json:"pending"`
	Running   int                 `json:"running"`
}

// PeerStatus is one line of StatusReply.
type PeerStatus struct {
	Host       structs.HostID     `json:"host"`
	Zone       string             `json:"availability_zone"`
	Live       bool               `json:"live"`
	Draining   bool               `json:"draining"`
	Generation structs.Generation `json:"generation"`
}

// ServiceStatus is one line of StatusReply.
type ServiceStatus struct {
	Service        string `json:"service"`
	Targets        int    `json:"targets"`
	DesiredTargets int    `json:"wanted"`
	InFlight       int    `json:"in_flight"`
	Queued         int    `json:"queued"`
}

// TaskStatus is one line of StatusReply, for tasks of partitions that the
// answering host owns.
type TaskStatus struct {
	Task   structs.TaskID    `json:"task"`
	Row    string            `json:"row"`
	Phase  structs.TaskPhase `json:"phase"`
	Worker structs.WorkerID  `json:"worker,omitempty"`
	Run    structs.Run       `json:"run"`
	Reason string            `json:"reason,omitempty"`
}

// StatusReply answers StatusRequested.
type StatusReply struct {
	Host           structs.HostID     `json:"host"`
	Generation     structs.Generation `json:"generation"`
	StoreReachable bool               `json:"store_reachable"`
	Ready          bool               `json:"ready"`
	Draining       bool               `json:"draining"`
	Peers          []PeerStatus       `json:"peers"`
	Partitions     []PartitionStatus  `json:"partitions"`
	Services       []ServiceStatus    `json:"services"`
	Tasks          []TaskStatus       `json:"tasks"`
}

// ExplainReply answers ExplainRequested. Records are oldest first.
type ExplainReply struct {
	Subject string           `json:"subject"`
	Summary string           `json:"summary"`
	Records []DecisionRecord `json:"records"`
}

// DrainReply answers DrainRequested.
type DrainReply struct {
	Partitions int `json:"partitions"` // still owned
	Calls      int `json:"calls"`      // still in progress
}

func (ApplyReply) isReply()   {}
func (StatusReply) isReply()  {}
func (ExplainReply) isReply() {}
func (DrainReply) isReply()   {}
