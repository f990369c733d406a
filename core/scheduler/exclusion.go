package scheduler

// exclusion is why no task of a step may be started on a worker now. A pass only asks whether
// there is one; explanations count the workers of each.
type exclusion uint8

// The exclusions, in the order in which they are found.
const (
	notExcluded exclusion = iota
	ofOtherService
	notListed
	draining
	notAnswering
	pausedStarts
	notStored
	heldForAck
	inEvacuatedZone
	withoutLabel
	inQuarantine
	full
	keepsRoomForOther
	paced
	tooLittleIdleCPU
	atStepLimit
	withoutAdvice
	intolerant
	exclusions // their number
)

// String returns the exclusion as explanations show it.
func (e exclusion) String() string { return exclusionNames[e] }

var exclusionNames = [exclusions]string{
	notExcluded:       "none",
	ofOtherService:    "has another service",
	notListed:         "is not in the list of workers",
	draining:          "drains",
	notAnswering:      "does not answer, or its lists have not been read",
	pausedStarts:      "starts there pause after a failure",
	notStored:         "is not stored as used yet",
	heldForAck:        "has ends that are not acknowledged yet",
	inEvacuatedZone:   "is in an evacuated zone",
	withoutLabel:      "lacks the label",
	inQuarantine:      "is isolated",
	full:              "has no room",
	keepsRoomForOther: "keeps room for another job",
	paced:             "its best-effort tasks are throttled",
	tooLittleIdleCPU:  "has too little idle CPU",
	atStepLimit:       "has as many tasks of the step as it may",
	withoutAdvice:     "needs advice",
	intolerant:        "its serving tasks would be disturbed",
}
