package structs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// RowKey is the key of a row of the table service.
type RowKey string

// Prefixes of row keys by kind of row, and the key of the configuration head.
const (
	PartitionPrefix  = "partitions/"
	TaskPrefix       = "tasks/"
	InboxPrefix      = "inbox/"
	WorkerPrefix     = "workers/"
	ClaimPrefix      = "claims/"
	EntryHostPrefix  = "hosts/"
	GenerationPrefix = "generations/"
	ConfigHeadKey    = RowKey("config/head")
)

// PartitionKey returns the key of the row that names the owner of a partition.
func PartitionKey(p PartitionID) RowKey { return RowKey(fmt.Sprintf("%s%04d", PartitionPrefix, p)) }

// TaskKeyPrefix returns the key prefix of the task rows of a partition.
func TaskKeyPrefix(p PartitionID) string { return fmt.Sprintf("%s%04d/", TaskPrefix, p) }

// TaskKey returns the key of a task row in a partition.
func TaskKey(p PartitionID, t TaskID) RowKey { return RowKey(TaskKeyPrefix(p) + string(t)) }

// InboxKeyPrefix returns the key prefix of the tasks transferred to a partition.
func InboxKeyPrefix(p PartitionID) string { return fmt.Sprintf("%s%04d/", InboxPrefix, p) }

// InboxKey returns the key of a task transferred to a partition.
func InboxKey(p PartitionID, t TaskID) RowKey { return RowKey(InboxKeyPrefix(p) + string(t)) }

// WorkerKeyPrefix returns the key prefix of the worker rows of a partition.
func WorkerKeyPrefix(p PartitionID) string { return fmt.Sprintf("%s%04d/", WorkerPrefix, p) }

// WorkerKey returns the key of a worker row in a partition.
func WorkerKey(p PartitionID, w WorkerID) RowKey { return RowKey(WorkerKeyPrefix(p) + string(w)) }

// ClaimKey returns the key of the claim on a call. The service must not contain a
// slash, so that keys are unambiguous. An idempotency key that is too long for the key of
// a row is replaced by its hash, and so is one that looks like a hash.
func ClaimKey(service, key string) RowKey {
	plain := ClaimPrefix + service + "/" + key
	isHash := len(key) == len(hashMark)+hex.EncodedLen(sha256.Size) && strings.HasPrefix(key, hashMark)
	if len(plain) <= MaxKeyBytes && !isHash {
		return RowKey(plain)
	}
	sum := sha256.Sum256([]byte(key))
	return RowKey(ClaimPrefix + service + "/" + hashMark + hex.EncodeToString(sum[:]))
}

// hashMark begins a hashed idempotency key.
const hashMark = "~"

// EntryHostKey returns the key of an entry host's row.
func EntryHostKey(h HostID) RowKey { return RowKey(EntryHostPrefix + string(h)) }

// GenerationKey returns the key of the immutable row of one configuration
// generation.
func GenerationKey(g Generation) RowKey { return RowKey(fmt.Sprintf("%s%012d", GenerationPrefix, g)) }

// HasPrefix reports whether the key begins with prefix.
func (k RowKey) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// Row is the value of a row of the table service. Only types of this package
// implement it.
type Row interface{ isRow() }

// PartitionRow names the owner of a partition. Epoch increases with each change
// of owner, Sequence with each transaction of that owner. Together with Instance
// they identify a transaction.
type PartitionRow struct {
	Owner            HostID     `json:"owner"` // empty when released
	Instance         InstanceID `json:"instance"`
	Epoch            Epoch      `json:"epoch"`
	Sequence         uint64     `json:"sequence"`
	PreviousInstance InstanceID `json:"former,omitempty"` // when released: an earlier owner that may still renew task leases
}

// TaskPhase is the durable phase of a task.
type TaskPhase string

// The phases of a task.
const (
	TaskPending  TaskPhase = "pending"  // waits for a worker
	TaskAssigned TaskPhase = "assigned" // committed to Worker under Run
	TaskEvicting TaskPhase = "evicting" // still committed to Worker, which was told to checkpoint and stop it
	TaskFinished TaskPhase = "finished" // ended with success
	TaskFailed   TaskPhase = "failed"   // no longer tried; Reason says why
	TaskStopped  TaskPhase = "stopped"  // stopped by an operator or a new sheet
	TaskMoved    TaskPhase = "moved"    // transferred to partition MovedTo; kept so that the home partition does not create it again
)

// TaskRow is the durable state of one task.
type TaskRow struct {
	Task       TaskID      `json:"task"`
	Row        string      `json:"row"`   // name of the sheet row
	Index      int         `json:"index"` // replica or task number in the row, from 0
	Kind       RowKind     `json:"kind"`
	Request    Resources   `json:"request"`
	Generation Generation  `json:"generation"` // configuration that created or last changed it
	SpecHash   uint64      `json:"spec_hash"`  // hash of what a run is started with; detects a changed sheet row
	Phase      TaskPhase   `json:"phase"`
	Worker     WorkerID    `json:"worker,omitempty"`
	Run        Run         `json:"run"`
	Checkpoint string      `json:"checkpoint,omitempty"` // object name to resume from
	Evictions  int         `json:"evictions,omitempty"`
	FailedOn   []WorkerID  `json:"failed_on,omitempty"` // workers on which runs failed, in order
	Reason     string      `json:"reason,omitempty"`
	Transfers  int         `json:"transfers,omitempty"` // number of transfers between partitions
	MovedTo    PartitionID `json:"moved_to,omitempty"`  // when Phase is moved
}

// Commitment is the share of a worker's capacity that is reserved for one run.
type Commitment struct {
	Task    TaskID    `json:"task"`
	Run     Run       `json:"run"`
	Request Resources `json:"request"`
}

// WorkerRow lists the commitments on one worker. Invariant: the sum of their
// requests is within the worker's capacity.
type WorkerRow struct {
	Worker      WorkerID     `json:"worker"`
	Commitments []Commitment `json:"commitments"`
}

// Committed returns the sum of the requests of all commitments.
func (w WorkerRow) Committed() Resources {
	var sum Resources
	for _, c := range w.Commitments {
		sum = sum.Add(c.Request)
	}
	return sum
}

// ClaimState is the durable state of a claimed call.
type ClaimState string

// The states of a claim.
const (
	ClaimHeld     ClaimState = "held"     // claimed; only the holder knows whether the call ran
	ClaimFinished ClaimState = "finished" // the call ran once and its result is recorded
	ClaimReleased ClaimState = "released" // the call certainly did not run; it may be claimed again
	ClaimUnknown  ClaimState = "unknown"  // the call was dispatched and its outcome was not learned; final
)

// ClaimRow is the durable claim on one non-idempotent call.
type ClaimRow struct {
	Service     string     `json:"service"`
	Key         string     `json:"key"`
	Host        HostID     `json:"host"`
	Instance    InstanceID `json:"instance"`
	Attempt     uint64     `json:"attempt"` // unique within Instance; identifies the claim
	State       ClaimState `json:"state"`
	Status      int        `json:"status,omitempty"` // HTTP status of the recorded answer
	ContentType string     `json:"content_type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
	BodyOmitted bool       `json:"body_omitted,omitempty"` // the answer was too large to record
}

// ConfigHead refers to the latest accepted configuration.
type ConfigHead struct {
	Generation Generation `json:"generation"`
	Object     string     `json:"object"` // name in the object store
	Author     string     `json:"author"`
	Instance   InstanceID `json:"instance"` // identifies the commit, together with Attempt
	Attempt    uint64     `json:"attempt"`
}

// EntryHostRow announces an entry host to hosts that do not know it yet.
type EntryHostRow struct {
	Host     HostID     `json:"host"`
	Instance InstanceID `json:"instance"`
	Address  string     `json:"address"` // IP:port of the peer listener
	Zone     string     `json:"availability_zone"`
}

// UnreadableRow stands for a row that is present but could not be decoded. It is never
// written.
type UnreadableRow struct{}

func (PartitionRow) isRow()  {}
func (TaskRow) isRow()       {}
func (WorkerRow) isRow()     {}
func (ClaimRow) isRow()      {}
func (ConfigHead) isRow()    {}
func (EntryHostRow) isRow()  {}
func (UnreadableRow) isRow() {}

// KeyedRow is a row read from the table service. A nil Row with Version 0
// means that the row is absent.
type KeyedRow struct {
	Key     RowKey
	Version Version
	Row     Row
}

// Unreadable reports whether the row is present but could not be decoded.
func (r KeyedRow) Unreadable() bool {
	_, unreadable := r.Row.(UnreadableRow)
	return unreadable
}

// Condition requires that a row has a version; 0 requires that it is absent.
type Condition struct {
	Key     RowKey
	Version Version
}

// Write sets a row, or deletes it where Row is nil.
type Write struct {
	Key RowKey
	Row Row
}
