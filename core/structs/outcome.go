package structs

// Outcome reports whether an effect took place.
type Outcome uint8

// The outcomes of an effect.
const (
	OutcomeDone    Outcome = iota + 1 // took place; the answer was received
	OutcomeNotDone                    // certainly did not take place
	OutcomeUnknown                    // may have taken place, or may still do so
)
