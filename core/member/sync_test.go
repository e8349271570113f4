package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Summary pages must cover all entries of a data centre. With pages that began at
// random offsets, the first entries were hardly ever listed, and some views stayed
// incomplete for minutes after the whole fleet had started at once.
func TestSummaryPagesCoverTheDataCentre(t *testing.T) {
	for _, n := range []int{1, 2, maxSummary, maxSummary + 1, 3 * maxSummary} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFullFleet(time.Unix(1e9, 0), 0, n, 1)
			listed := make(map[baobabstep.VMID]bool)
			covered := make(map[baobabstep.VMID]bool)
			for range 10 * (1 + n/maxSummary) {
				s := f.summarize(f.own)
				qt.Assert(t, len(s.Items) <= maxSummary, qt.IsTrue)
				for _, it := range s.Items {
					listed[it.ID] = true
				}
				for id := range f.known {
					if id >= s.From && id <= s.To {
						covered[id] = true
					}
				}
			}
			qt.Assert(t, listed, qt.HasLen, n)
			qt.Assert(t, covered, qt.HasLen, n)
		})
	}
}
