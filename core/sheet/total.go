package sheet

import "github.com/tamarackstep/tamarackstep/core/structs"

// TotalTasks returns the number of replicas and tasks of all rows.
func TotalTasks(rows []structs.SheetRow) int {
	total := 0
	for _, r := range rows {
		if r.Kind != structs.KindTeam {
			total += r.Count
		}
	}
	return total
}
