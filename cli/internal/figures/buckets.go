package figures

import (
	"maps"
	"slices"
	"time"
)

// maxBuckets bounds the intervals of a day: when there are more, their width doubles.
const maxBuckets = 2000

// buckets holds intervals of one width by their number since the zero time.
type buckets struct {
	width    time.Duration
	byNumber map[int64]*Bucket
}

func newBuckets() buckets {
	return buckets{width: time.Second, byNumber: make(map[int64]*Bucket)}
}

func (b *buckets) number(at time.Time) int64 { return at.UnixNano() / int64(b.width) }

// at returns the interval of a time.
func (b *buckets) at(at time.Time) *Bucket {
	if found := b.byNumber[b.number(at)]; found != nil {
		return found
	}
	for len(b.byNumber) >= maxBuckets {
		b.coarsen()
	}
	n := b.number(at)
	if b.byNumber[n] == nil {
		b.byNumber[n] = &Bucket{At: time.Unix(0, n*int64(b.width))}
	}
	return b.byNumber[n]
}

// coarsen doubles the width of the intervals.
func (b *buckets) coarsen() {
	finer := b.byNumber
	b.width *= 2
	b.byNumber = make(map[int64]*Bucket)
	for _, bucket := range finer {
		n := b.number(bucket.At)
		sum := b.byNumber[n]
		if sum == nil {
			sum = &Bucket{At: time.Unix(0, n*int64(b.width))}
			b.byNumber[n] = sum
		}
		sum.Starts += bucket.Starts
		sum.Refusals += bucket.Refusals
		sum.Queue = max(sum.Queue, bucket.Queue)
		sum.WorstWait = max(sum.WorstWait, bucket.WorstWait)
	}
}

// list returns the intervals, oldest first. Those without events are left out.
func (b *buckets) list() []Bucket {
	var list []Bucket
	for bucket := range maps.Values(b.byNumber) {
		list = append(list, *bucket)
	}
	slices.SortFunc(list, func(x, y Bucket) int { return x.At.Compare(y.At) })
	return list
}
