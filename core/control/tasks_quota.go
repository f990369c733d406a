package control

import (
	"fmt"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// teamQuota is the quota and the total demand of one team according to the sheet.
type teamQuota struct {
	limit   structs.Resources
	defined bool              // the sheet has a row for the team
	demand  structs.Resources // of all tasks of the team's rows, in all partitions
}

// addTeamDemand adds a sheet row to the quotas being computed.
func addTeamDemand(teams map[string]teamQuota, row structs.SheetRow) {
	if row.Kind == structs.KindTeam {
		q := teams[row.Name]
		q.limit, q.defined = row.Request, true
		teams[row.Name] = q
		return
	}
	if row.Team == "" {
		return
	}
	q := teams[row.Team]
	q.demand = q.demand.Add(scale(row.Request, int64(row.Count)))
	teams[row.Team] = q
}

// scale returns the resources multiplied by n.
func scale(r structs.Resources, n int64) structs.Resources {
	return structs.Resources{MilliCores: r.MilliCores * n, MemoryMB: r.MemoryMB * n, Accelerators: r.Accelerators * n}
}

// quotaRefusal returns why the team may not use more resources, or an empty
// string if it may.
//
// A team whose total demand fits its quota is never limited. Otherwise each
// partition grants an equal share of the quota. Owners do not exchange team
// usage, so a team may be limited in one partition while its share in another is
// unused. A team without usage in the partition may exceed the share with one
// task, because a task larger than the share would otherwise never run; a team
// with few, large tasks can therefore exceed its quota by at most one task in
// each partition.
func (s *State) quotaRefusal(o *ownedPartition, r *rowState, request structs.Resources) string {
	q := o.tasks.quotas[r.sheet.Team]
	if !q.defined || q.demand.Fits(q.limit) {
		return ""
	}
	n := int64(len(s.partitions))
	share := structs.Resources{
		MilliCores: q.limit.MilliCores / n, MemoryMB: q.limit.MemoryMB / n, Accelerators: q.limit.Accelerators / n,
	}
	used := o.tasks.teamUsage[r.sheet.Team]
	if used.Add(request).Fits(share) || used == (structs.Resources{}) && request.Fits(q.limit) {
		return ""
	}
	return fmt.Sprintf("quota of team %s is used up", r.sheet.Team)
}
