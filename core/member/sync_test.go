package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A VM that missed the news of one other finds it by comparing pages. When
// pages began at random places, the first entries of a data centre were hardly
// ever on one, and a few views stayed incomplete for minutes after the whole
// fleet had started at once. So every entry has to be on one page in a few.
func TestSummaryPagesCoverTheDataCentre(t *testing.T) {
	for _, n := range []int{1, 2, maxSummary, maxSummary + 1, 3 * maxSummary} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := fullFleet(time.Unix(1e9, 0), 0, n, 1)
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
