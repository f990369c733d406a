package structs

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCores   int64 `json:"milli_cores"`  // thousandths of a processor
	MemoryMB     int64 `json:"memory_mb"`    // megabytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// MilliCoresPerCore is the number of thousandths in one processor.
const MilliCoresPerCore = 1000

// Cores returns the processors of r.
func (r Resources) Cores() float64 { return float64(r.MilliCores) / MilliCoresPerCore }

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns how often one fits into r.
func (r Resources) Times(one Resources) int {
	const unlimited = 1 << 20
	n := int64(unlimited)
	for _, c := range [...]struct{ have, need int64 }{{r.MilliCores, one.MilliCores}, {r.MemoryMB, one.MemoryMB}, {r.Accelerators, one.Accelerators}} {
		if c.need > 0 {
			n = min(n, max(c.have, 0)/c.need)
		}
	}
	return int(n)
}

// Fits reports whether r is at most o in every component.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// maxAmount bounds each component of an amount of resources, so that sums over all
// tasks and workers of a deployment do not overflow.
const maxAmount = 1 << 40

// Valid reports whether no component is negative or beyond maxAmount.
func (r Resources) Valid() bool {
	return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 &&
		r.MilliCores <= maxAmount && r.MemoryMB <= maxAmount && r.Accelerators <= maxAmount
}
