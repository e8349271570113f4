package answer

import (
	"math"
	"sync"
)

const (
	// bucketsPerOctave is the resolution of sizes: 9 %.
	bucketsPerOctave = 8
	// smallestSize is that of the first bucket, in bytes; the last one is of
	// 4 MB and more.
	smallestSize = 32
	bucketCount  = 17*bucketsPerOctave + 1
	// enoughSizes is the number of answers that have to be seen on a route
	// before any of them is called short. A quantile of fewer is a guess.
	enoughSizes = 30
	// mostSizes is the number of answers after which the weight of all before
	// is halved: a route that has changed its answers is known anew after some
	// thousand.
	mostSizes = 1024
	// usualQuantile is the part of the answers that may be shorter than usual.
	// Where more are, short answers are what the route usually gives: with a
	// quarter of the targets failing altogether, none would be noticed.
	usualQuantile = 0.25
	// shortRatio is how short an answer is that fails, against the usual. The
	// content of an answer varies with what is asked; errors say next to
	// nothing. Measured on three routes: errors 150 to 199 bytes, the shortest
	// other answers 470, 750 and 800.
	shortRatio = 0.5
	// refreshEvery is the number of answers after which the usual size is
	// worked out anew: 137 additions.
	refreshEvery = 16
)

// Sizes learns how long the answers of one route usually are. It is safe for
// concurrent use; the zero value knows nothing.
type Sizes struct {
	mu      sync.Mutex
	counts  [bucketCount]float32
	total   float32
	added   int
	usual   float64
	refresh int
}

// Add takes in the size of an answer in bytes, and tells whether it is much
// shorter than usual.
func (s *Sizes) Add(bytes uint32) (short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[bucket(bytes)]++
	s.total++
	s.added++
	if s.total >= mostSizes {
		s.halve()
	}
	if s.refresh++; s.refresh >= refreshEvery || s.added == enoughSizes {
		s.refresh = 0
		s.usual = s.quantile(usualQuantile)
	}
	return s.added >= enoughSizes && float64(bytes) < shortRatio*s.usual
}

func (s *Sizes) halve() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the lower end of the bucket in which a part of the sizes ends.
func (s *Sizes) quantile(part float32) float64 {
	sum := float32(0)
	for i, count := range s.counts {
		if sum += count; sum > part*s.total {
			return smallestSize * math.Exp2(float64(i)/bucketsPerOctave)
		}
	}
	return 0
}

func bucket(bytes uint32) int {
	if bytes <= smallestSize {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(bytes)/smallestSize)), bucketCount-1)
}
