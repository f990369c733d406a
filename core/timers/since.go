package timers

import "time"

// TrackSince sets *at to the time since which a condition holds, or 0 while it does not hold.
func TrackSince(at *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*at = 0
	case *at == 0:
		*at = now
	}
}
