package structs

// Outcome tells what became of an effect.
type Outcome uint8

// The outcomes of an effect.
const (
	OutcomeDone    Outcome = iota + 1 // took effect; the answer was received
	OutcomeNotDone                    // certainly did not take effect
	OutcomeUnknown                    // may or may not have taken effect, or may still do so
)
