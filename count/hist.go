package count

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// Bucket layout of a Hist.
const (
	NumBuckets  = 40
	FirstBucket = 250 * time.Microsecond
)

// Hist is a histogram of latencies. Bucket i counts latencies up to Bound(i) and above Bound(i-1); the last bucket
// also counts all latencies above its bound.
type Hist [NumBuckets]uint64

var bucketBounds = newBucketBounds()

// Bound returns the upper bound of a bucket: FirstBucket times √2 to the power of i.
func Bound(i int) time.Duration { return bucketBounds[i] }

// Bucket returns the index of a latency's bucket.
func Bucket(latency time.Duration) int {
	i, _ := slices.BinarySearch(bucketBounds[:], latency)
	return min(i, NumBuckets-1)
}

// Total returns the number of latencies counted.
func (h *Hist) Total() uint64 { return h.Above(-1) }

// Above returns the number of latencies in the buckets after i.
func (h *Hist) Above(i int) uint64 {
	var n uint64
	for _, c := range h[i+1:] {
		n += c
	}
	return n
}

// Quantile returns the lowest bucket for which at least the given fraction of the latencies are in it or below. It
// returns false if the histogram is empty.
func (h *Hist) Quantile(q float64) (int, bool) {
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
func (h Hist) MarshalJSON() ([]byte, error) {
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
func (h *Hist) UnmarshalJSON(data []byte) error {
	var list []uint64
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*h = Hist{}
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
