package control

import "github.com/tamarackstep/tamarackstep/core/structs"

// Message is sent from one entry host to another. The set of types is closed.
type Message interface{ isMessage() }

// OwnedPartition is one entry of a heartbeat.
type OwnedPartition struct {
	Partition       structs.PartitionID
	Epoch           structs.Epoch
	EndpointVersion uint64
	Free            structs.Resources // uncommitted capacity of its live workers
	Pending         int               // tasks that are not placed yet
}

// Heartbeat announces a live entry host.
type Heartbeat struct {
	Host           structs.HostID
	Instance       structs.InstanceID
	Address        string
	Region         string
	Zone           string
	Generation     structs.Generation
	StoreReachable bool
	Draining       bool
	Owned          []OwnedPartition // by partition
}

// Endpoints lists the running targets of one partition.
type Endpoints struct {
	Partition structs.PartitionID
	Epoch     structs.Epoch
	Version   uint64
	Targets   []structs.Target
}

// EndpointsRequest asks an owner for the targets of a partition.
type EndpointsRequest struct {
	Partition structs.PartitionID
	Address   string // of the requesting host, for the answer
}

// ConfigPush carries an accepted configuration.
type ConfigPush struct{ Configuration structs.Configuration }

// ConfigDelta carries the difference between an accepted configuration and the
// generation before it. A sheet of 11,000 rows takes megabytes; most changes
// affect a few rows.
type ConfigDelta struct {
	Base       structs.Generation // the generation that the delta applies to
	Generation structs.Generation
	Author     string
	Set        []structs.SheetRow // added or changed rows, sorted by name
	Removed    []string           // sorted
	Stopped    []string           // all rows that are stopped, sorted
}

// ConfigRequest asks a peer to send its configuration to Address.
type ConfigRequest struct{ Address string }

// Transferred tells the owner of a partition that a task is in its inbox.
type Transferred struct{ Partition structs.PartitionID }

// Released announces that an owner has released a partition and will not renew
// any lease in it.
type Released struct {
	Partition structs.PartitionID
	Epoch     structs.Epoch
	Host      structs.HostID
	Instance  structs.InstanceID
}

func (Heartbeat) isMessage()        {}
func (Endpoints) isMessage()        {}
func (EndpointsRequest) isMessage() {}
func (ConfigPush) isMessage()       {}
func (ConfigDelta) isMessage()      {}
func (ConfigRequest) isMessage()    {}
func (Transferred) isMessage()      {}
func (Released) isMessage()         {}
