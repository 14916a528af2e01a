package count

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// Bucket layout of a Histogram.
const (
	NumBuckets  = 40
	FirstBucket = 250 * time.Microsecond
)

// Histogram is a histogram of latencies. Bucket i counts latencies up to BucketBound(i) and above BucketBound(i-1); the
// last bucket also counts all latencies above its bound.
type Histogram [NumBuckets]uint64

var bucketBounds = newBucketBounds()

// BucketBound returns the upper bound of a bucket: FirstBucket times √2 to the power of i.
func BucketBound(i int) time.Duration { return bucketBounds[i] }

// BucketIndex returns the index of a latency's bucket.
func BucketIndex(latency time.Duration) int {
	i, _ := slices.BinarySearch(bucketBounds[:], latency)
	return min(i, NumBuckets-1)
}

// Total returns the number of latencies counted.
func (h *Histogram) Total() uint64 { return h.CountAbove(-1) }

// CountAbove returns the number of latencies in the buckets after i.
func (h *Histogram) CountAbove(i int) uint64 {
	var n uint64
	for _, c := range h[i+1:] {
		n += c
	}
	return n
}

// Quantile returns the lowest bucket for which at least the given fraction of the latencies are in it or below. It
// returns false if the histogram is empty.
func (h *Histogram) Quantile(q float64) (int, bool) {
	total := h.Total()
	if total == 0 {
		return 0, false
	}
	var n uint64
	for i, c := range h {
		n += c
		if float64(n) >= q*float64(total) {
			return i, true
		}
	}
	return NumBuckets - 1, true
}

// MarshalJSON writes the index of the first non-empty bucket, followed by the counts up to the last non-empty one.
func (h Histogram) MarshalJSON() ([]byte, error) {
	first, last := 0, NumBuckets
	for first < NumBuckets && h[first] == 0 {
		first++
	}
	for last > first && h[last-1] == 0 {
		last--
	}
	if first == last {
		return []byte("[]"), nil
	}
	return json.Marshal(append([]uint64{uint64(first)}, h[first:last]...))
}

// UnmarshalJSON reads the format of MarshalJSON.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var list []uint64
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*h = Histogram{}
	if len(list) == 0 {
		return nil
	}
	if list[0] > NumBuckets || int(list[0])+len(list)-1 > NumBuckets {
		return fmt.Errorf("histogram %s does not fit %d buckets", data, NumBuckets)
	}
	copy(h[list[0]:], list[1:])
	return nil
}

func newBucketBounds() [NumBuckets]time.Duration {
	var b [NumBuckets]time.Duration
	for i := range b {
		b[i] = time.Duration(float64(FirstBucket) * math.Pow(math.Sqrt2, float64(i)))
	}
	return b
}
