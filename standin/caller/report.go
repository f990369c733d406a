package caller

import "time"

// OrderState is what a caller may conclude about an order.
type OrderState string

// The states of an order.
const (
	OrderDone    OrderState = "done"    // a complete answer arrived: ran exactly once
	OrderNotRun  OrderState = "not-run" // every attempt was answered "not run"
	OrderUnknown OrderState = "unknown" // ran at most once
)

// Order is the final state of one order.
type Order struct {
	Key      string     `json:"key"`
	State    OrderState `json:"state"`
	Attempts int        `json:"attempts"`
}

// IncompleteAttempt is an attempt whose request was sent but got an incomplete
// answer or none.
type IncompleteAttempt struct {
	AtMS   int64  `json:"at_ms"` // wall clock, Unix milliseconds
	Host   string `json:"host"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// Report summarizes the load. Durations are in milliseconds.
type Report struct {
	Calls              int                 `json:"calls"`        // idempotent calls that were started
	CallsDone          int                 `json:"calls_done"`   // idempotent calls with a complete answer
	CallsFailed        int                 `json:"calls_failed"` // idempotent calls without a complete answer after all attempts
	Retries            int                 `json:"retries"`
	Skipped            int                 `json:"skipped"`  // calls and orders not started because Options.MaxInProgress was reached
	Statuses           map[string]int      `json:"statuses"` // attempts by status and outcome
	Orders             []Order             `json:"orders"`
	IncompleteAttempts []IncompleteAttempt `json:"cuts"`
	Violations         []string            `json:"violations"`
	P50MS              float64             `json:"p50_ms"` // latency of complete answers to idempotent calls
	P99MS              float64             `json:"p99_ms"`
	MaxMS              float64             `json:"max_ms"`
	LongestGapMS       float64             `json:"longest_gap_ms"` // between complete answers to idempotent calls
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
