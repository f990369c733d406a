package policy

import "github.com/tamarackstep/tamarackstep/core/structs"

// noDeadline sorts after every real time.
const noDeadline = int64(1) << 62

// deadlineRunTimePercent scales the expected run time of work with a deadline,
// because estimates are often too short.
const deadlineRunTimePercent = 150

// Rank orders waiting rows. Compare with Before.
type Rank struct {
	Importance    structs.Importance
	LatestStartMS int64 // Unix milliseconds; noDeadline when there is no deadline
	RunTimeMS     int64 // expected run time; 0 for services
	Name          string
}

// NewRank returns the rank of a row whose tasks are expected to run for the
// given milliseconds (0: unknown).
func NewRank(r structs.SheetRow, runTimeMS int64) Rank {
	rank := Rank{Importance: r.Importance, LatestStartMS: noDeadline, Name: r.Name}
	if r.Kind == structs.KindBatch {
		rank.RunTimeMS = runTimeMS
	}
	if r.DeadlineUnixMS > 0 {
		rank.LatestStartMS = r.DeadlineUnixMS - runTimeMS*deadlineRunTimePercent/100
	}
	return rank
}

// Before reports whether a is placed before b: by higher importance, earlier
// latest start, shorter run time, so that short work does not wait behind long
// work, and name.
func (a Rank) Before(b Rank) bool {
	switch {
	case a.Importance != b.Importance:
		return a.Importance > b.Importance
	case a.LatestStartMS != b.LatestStartMS:
		return a.LatestStartMS < b.LatestStartMS
	case a.RunTimeMS != b.RunTimeMS:
		return a.RunTimeMS < b.RunTimeMS
	}
	return a.Name < b.Name
}

// MayEvict reports whether waiting tasks of the row may evict batch tasks of the
// given importance.
func MayEvict(r structs.SheetRow, victim structs.Importance) bool {
	return (r.Importance == structs.ImportanceUrgent || r.Kind == structs.KindService) && victim < r.Importance
}
