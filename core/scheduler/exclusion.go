package scheduler

// exclusion is why no task of a step may be started on a worker now. A pass only asks whether
// there is one; explanations count the workers of each.
type exclusion uint8

// The exclusions, in the order in which they are found.
const (
	notExcluded exclusion = iota
	excludedOtherService
	excludedNotListed
	excludedDraining
	excludedNotAnswering
	excludedStartPause
	excludedNotStored
	excludedUnackedEnds
	excludedEvacuatedZone
	excludedMissingLabel
	excludedQuarantine
	excludedNoRoom
	excludedKeptRoom
	excludedThrottled
	excludedNoIdleCPU
	excludedStepLimit
	excludedNoAdvice
	excludedDisturbance
	exclusionCount
)

// String returns the exclusion as explanations show it.
func (e exclusion) String() string { return exclusionNames[e] }

var exclusionNames = [exclusionCount]string{
	notExcluded:           "none",
	excludedOtherService:  "has another service",
	excludedNotListed:     "is not in the list of workers",
	excludedDraining:      "drains",
	excludedNotAnswering:  "does not answer, or its lists have not been read",
	excludedStartPause:    "starts there pause after a failure",
	excludedNotStored:     "is not stored as used yet",
	excludedUnackedEnds:   "has ends that are not acknowledged yet",
	excludedEvacuatedZone: "is in an evacuated zone",
	excludedMissingLabel:  "lacks the label",
	excludedQuarantine:    "is isolated",
	excludedNoRoom:        "has no room",
	excludedKeptRoom:      "keeps room for another job",
	excludedThrottled:     "its best-effort tasks are throttled",
	excludedNoIdleCPU:     "has too little idle CPU",
	excludedStepLimit:     "has as many tasks of the step as it may",
	excludedNoAdvice:      "needs advice",
	excludedDisturbance:   "its serving tasks would be disturbed",
}
