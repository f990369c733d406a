package control

import (
	"strings"
	"time"
)

const (
	maxClasses      = 64                    // of one service; further ones share one class
	classSamples    = 5                     // answers needed before a class can count as long
	classWeight     = 0.1                   // weight of the newest answer in the estimate
	classIdleLimit  = 30 * time.Second      // a class without calls for this long does not count as the fastest
	longEnterFactor = 8                     // a class becomes long when it is this many times slower than the fastest one
	longExitFactor  = 6                     // a long class becomes short again below this ratio
	minLongEstimate = 20 * time.Millisecond // faster classes are never long
	reclassifyEvery = 64                    // answers between two searches for the fastest class
	reserveHold     = 10 * time.Second      // slots stay reserved for short calls this long after the last one
)

// classKey identifies a class of calls of one service.
type classKey struct{ method, path string }

// callClass estimates the service time of similar calls.
type callClass struct {
	estimate    float64 // ns, exponentially weighted moving average
	samples     int
	lastArrival Instant
	long        bool
}

// callClasses holds the classes of one service.
type callClasses struct {
	byKey            map[classKey]*callClass
	list             []*callClass // in order of first call
	overflow         *callClass   // shared by classes beyond maxClasses
	fastest          float64      // ns; 0: unknown
	observed         int
	lastShortArrival Instant // last arrival of a short call
	anyLong          bool
}

// PathClass returns the class of a path: its first two segments below the
// service, with segments that contain a digit or are very long replaced by "*".
// The front end computes it, so that the control loop parses nothing.
func PathClass(path string) string {
	const segments, longest = 2, 32
	var b strings.Builder
	path = strings.Trim(path, "/")
	for n := 0; n < segments && path != ""; n++ {
		part, rest, _ := strings.Cut(path, "/")
		if len(part) > longest || strings.ContainsAny(part, "0123456789") {
			part = "*"
		}
		b.WriteString("/")
		b.WriteString(part)
		path = rest
	}
	return b.String()
}

// classOf returns the class of a call that arrives now.
func (svc *service) classOf(method, path string, now Instant) *callClass {
	k := &svc.classes
	c := k.byKey[classKey{method, path}]
	if c == nil {
		c = k.add(classKey{method, path})
	}
	c.lastArrival = now
	if !c.long {
		k.lastShortArrival = now
	}
	return c
}

func (k *callClasses) add(key classKey) *callClass {
	if k.byKey == nil {
		k.byKey = make(map[classKey]*callClass)
	}
	if len(k.list) >= maxClasses {
		if k.overflow == nil {
			k.overflow = &callClass{}
		}
		return k.overflow
	}
	c := &callClass{}
	k.byKey[key] = c
	k.list = append(k.list, c)
	return c
}

// observe adds the service time of one attempt to the estimate. lowerBound
// marks an attempt that ended without an answer, which would have taken longer.
func (k *callClasses) observe(c *callClass, took time.Duration, lowerBound bool, now Instant) {
	t := float64(took)
	if lowerBound && t <= c.estimate {
		return
	}
	if c.samples == 0 {
		c.estimate = t
	} else {
		c.estimate += classWeight * (t - c.estimate)
	}
	c.samples++
	k.observed++
	if k.observed%reclassifyEvery == 0 || k.fastest == 0 || c.samples == classSamples {
		k.findFastest(now)
	}
	k.classify(c)
}

func (k *callClasses) findFastest(now Instant) {
	k.fastest, k.anyLong = 0, false
	for _, c := range k.list {
		if c.samples < classSamples || now-c.lastArrival > classIdleLimit {
			continue
		}
		k.anyLong = k.anyLong || c.long
		if k.fastest == 0 || c.estimate < k.fastest {
			k.fastest = c.estimate
		}
	}
}

func (k *callClasses) classify(c *callClass) {
	factor := float64(longEnterFactor)
	if c.long {
		factor = longExitFactor
	}
	c.long = c.samples >= classSamples && k.fastest > 0 &&
		c.estimate >= float64(minLongEstimate) && c.estimate > factor*k.fastest
	k.anyLong = k.anyLong || c.long
}

// reserve returns how many of a worker's slots are reserved for short calls.
func (k *callClasses) reserve(slots int, now Instant) int {
	if !k.anyLong || now-k.lastShortArrival > reserveHold {
		return 0
	}
	return slots / slotsPerReserved
}

// slotsPerReserved is the number of a worker's slots for each one that is
// reserved for short calls.
const slotsPerReserved = 8
