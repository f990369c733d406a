package structs

// HostID identifies an entry host. It is stable across restarts of its process.
type HostID string

// InstanceID identifies one run of an entry host's process. It is never reused.
type InstanceID string

// WorkerID identifies a worker by its id in the platform's host list.
type WorkerID string

// TaskID identifies a task. A task keeps its id across evictions and restarts; a
// replacement replica of a service is a new task with a new id.
type TaskID string

// PartitionID is the number of a partition, from 0 to the number of partitions
// less one.
type PartitionID int

// Epoch counts the changes of owner of a partition. It never decreases.
type Epoch uint64

// Generation is the number of an accepted configuration. It never decreases; 0
// means that there is none.
type Generation uint64

// Run counts the assignments of one task. It never decreases; 0 means that the
// task was never assigned.
type Run uint64

// Version is the revision of the table service at which a row was last
// written. 0 means that the row is absent.
type Version uint64
