package answer

import (
	"math"
	"sync"
)

const (
	// bucketsPerOctave gives the buckets a width of 9 %.
	bucketsPerOctave = 8
	// minBucketSize is the upper limit of the first bucket, in bytes. The last bucket
	// holds sizes of 4 MB and more.
	minBucketSize = 32
	bucketCount   = 17*bucketsPerOctave + 1
	// minSizeSamples is the number of answers on a route before any of them is reported as
	// short. Quantiles of fewer answers are unreliable.
	minSizeSamples = 30
	// maxSizeWeight is the total weight at which all weights are halved. After a change of
	// a route's answers, the histogram follows within some thousand answers.
	maxSizeWeight = 1024
	// typicalQuantile is the quantile that is the typical size, and so the largest share
	// of short answers that is not typical for a route. With a quarter of the targets
	// failing altogether, none of them is noticed.
	typicalQuantile = 0.25
	// shortRatio is the fraction of the typical size below which an answer is short. The
	// size of regular answers varies with the request, and errors have almost no content.
	// On three routes, errors take 150 to 199 bytes, and the shortest other answers 470,
	// 750 and 800.
	shortRatio = 0.5
	// overloadedShortWeight is the weight of a short answer in an overload. Half of all
	// answers may then be errors for seconds; with full weight these became the typical
	// size within a second or two, and were noticed no more.
	overloadedShortWeight = 0.1
	// refreshInterval is the number of answers after which the typical size is recomputed,
	// which takes 137 additions.
	refreshInterval = 16
)

// SizeHistogram is a histogram of the answer sizes of one route, in which older answers
// have less weight. It is safe for concurrent use. The zero value is empty.
type SizeHistogram struct {
	mu           sync.Mutex
	counts       [bucketCount]float32
	total        float32
	added        int
	typical      float64
	sinceRefresh int
}

// Add adds the size of an answer in bytes. It reports whether the answer is much shorter
// than the typical one. overloaded is set while targets reject requests for lack of room.
func (s *SizeHistogram) Add(bytes uint32, overloaded bool) (short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	short = s.added >= minSizeSamples && float64(bytes) < shortRatio*s.typical
	weight := float32(1)
	if short && overloaded {
		weight = overloadedShortWeight
	}
	s.counts[bucketIndex(bytes)] += weight
	s.total += weight
	s.added++
	if s.total >= maxSizeWeight {
		s.halveWeights()
	}
	if s.sinceRefresh++; s.sinceRefresh >= refreshInterval || s.added == minSizeSamples {
		s.sinceRefresh = 0
		s.typical = s.quantile(typicalQuantile)
	}
	return short
}

func (s *SizeHistogram) halveWeights() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the lower limit of the bucket that contains the given quantile, in
// bytes.
func (s *SizeHistogram) quantile(part float32) float64 {
	sum := float32(0)
	for i, count := range s.counts {
		if sum += count; sum > part*s.total {
			return minBucketSize * math.Exp2(float64(i)/bucketsPerOctave)
		}
	}
	return 0
}

func bucketIndex(bytes uint32) int {
	if bytes <= minBucketSize {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(bytes)/minBucketSize)), bucketCount-1)
}
