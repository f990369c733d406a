package deployment

import (
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// WorkerGroupsByRack returns groups of two workers. Each group is a process and a rack of its
// own, in alternating availability zones. The rack names are chosen so that the
// racks belong to the partitions in turn, and each partition has workers if there
// are as many groups as partitions.
func WorkerGroupsByRack(groups, partitions int) []WorkerGroup {
	var workerGroups []WorkerGroup
	number := 0
	for i := range groups {
		zone := zones[i%2]
		partition := structs.PartitionID(i % partitions)
		rack := ""
		for rack == "" || control.PartitionOfRack(region, zone, rack, partitions) != partition {
			number++
			rack = fmt.Sprintf("rack-%d", number)
		}
		workerGroups = append(workerGroups, WorkerGroup{ID: "w-" + rack, Count: 2, Zone: zone, Rack: rack})
	}
	return workerGroups
}
