package render

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Status is the report of the state of the deployment as one entry host sees it.
type Status struct {
	Origin
	Reply control.StatusReply
	Tasks bool // list every task instead of counts by row and the failed tasks
}

type statusDocument struct {
	Origin
	control.StatusReply
	Peers      []control.PeerStatus      `json:"peers"`
	Partitions []control.PartitionStatus `json:"partitions"`
	Services   []control.ServiceStatus   `json:"services"`
	Tasks      []control.TaskStatus      `json:"tasks"`
	ExitStatus int                       `json:"exit_status"`
}

// Document implements Report. Lists are never null.
func (s Status) Document() any {
	r := s.Reply
	return statusDocument{
		Origin: s.Origin, StatusReply: r, ExitStatus: ExitDone,
		Peers:      append([]control.PeerStatus{}, r.Peers...),
		Partitions: append([]control.PartitionStatus{}, r.Partitions...),
		Services:   append([]control.ServiceStatus{}, r.Services...),
		Tasks:      append([]control.TaskStatus{}, r.Tasks...),
	}
}

// ExitStatus implements Report.
func (s Status) ExitStatus() int { return ExitDone }

// Table implements Report.
func (s Status) Table() string {
	r := s.Reply
	sections := []string{fmt.Sprintf("Entry host %s (%s): generation %d in force; ready: %s; table service reachable: %s; draining: %s\n",
		r.Host, s.AnsweredBy, r.Generation, yesNo(r.Ready), yesNo(r.StoreReachable), yesNo(r.Draining))}
	addTable := func(header string, rows [][]string) {
		if len(rows) > 0 {
			sections = append(sections, table(header, rows))
		}
	}
	addTable("OTHER ENTRY HOST\tZONE\tLIVE\tDRAINING\tGENERATION", peerRows(r.Peers))
	addTable("PARTITION\tOWNER\tEPOCH\tPENDING\tRUNNING", partitionRows(r))
	addTable("SERVICE\tTARGETS\tWANTED\tIN FLIGHT\tQUEUED", serviceRows(r.Services))
	if s.Tasks {
		addTable("TASK\tROW\tPHASE\tWORKER\tRUN\tREASON", taskRows(r.Tasks, func(control.TaskStatus) bool { return true }))
	} else {
		addTable("ROW (tasks of this host)\tPENDING\tASSIGNED\tEVICTING\tFINISHED\tFAILED\tSTOPPED\tMOVED", phaseRows(r.Tasks))
		addTable("FAILED TASK\tROW\tPHASE\tWORKER\tRUN\tREASON", taskRows(r.Tasks, isFailed))
	}
	return strings.Join(sections, "\n")
}

func peerRows(peers []control.PeerStatus) (rows [][]string) {
	for _, p := range peers {
		rows = append(rows, []string{string(p.Host), p.Zone, yesNo(p.Live), yesNo(p.Draining), fmt.Sprint(p.Generation)})
	}
	return rows
}

// partitionRows lists the partitions. Only the owner of a partition knows how
// many tasks run in it; the cell of any other shows "-".
func partitionRows(r control.StatusReply) (rows [][]string) {
	for _, p := range r.Partitions {
		running := "-"
		if p.Owner == r.Host {
			running = strconv.Itoa(p.Running)
		}
		owner := string(p.Owner)
		if owner == "" {
			owner = "none"
		}
		rows = append(rows, []string{fmt.Sprint(p.Partition), owner, fmt.Sprint(p.Epoch), strconv.Itoa(p.Pending), running})
	}
	return rows
}

func serviceRows(services []control.ServiceStatus) (rows [][]string) {
	for _, s := range services {
		rows = append(rows, []string{oneLine(s.Service), strconv.Itoa(s.Targets), strconv.Itoa(s.DesiredTargets), strconv.Itoa(s.InFlight), strconv.Itoa(s.Queued)})
	}
	return rows
}

// phases lists the phases of a task in the order of the table's columns.
var phases = []structs.TaskPhase{
	structs.TaskPending, structs.TaskAssigned, structs.TaskEvicting, structs.TaskFinished, structs.TaskFailed,
	structs.TaskStopped, structs.TaskMoved,
}

// phaseRows counts the tasks of each row by phase.
func phaseRows(tasks []control.TaskStatus) (rows [][]string) {
	counts := make(map[string]map[structs.TaskPhase]int)
	var names []string
	for _, t := range tasks {
		if counts[t.Row] == nil {
			counts[t.Row] = make(map[structs.TaskPhase]int)
			names = append(names, t.Row)
		}
		counts[t.Row][t.Phase]++
	}
	sort.Strings(names)
	for _, name := range names {
		cells := []string{oneLine(name)}
		for _, phase := range phases {
			cells = append(cells, strconv.Itoa(counts[name][phase]))
		}
		rows = append(rows, cells)
	}
	return rows
}

func isFailed(t control.TaskStatus) bool { return t.Phase == structs.TaskFailed }

func taskRows(tasks []control.TaskStatus, include func(control.TaskStatus) bool) (rows [][]string) {
	for _, t := range tasks {
		if include(t) {
			rows = append(rows, []string{string(t.Task), oneLine(t.Row), string(t.Phase), string(t.Worker), fmt.Sprint(t.Run), oneLine(t.Reason)})
		}
	}
	return rows
}
