package heartbeat

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// returns returns a number of returned data centres with long names and of returned targets, one a
// second.
func returns(dataCentres, targets int) *baobabstep.Returns {
	known := &baobabstep.Returns{Since: start.Add(-time.Hour), DataCentres: make(map[string]time.Time), Targets: make(map[baobabstep.TargetID]time.Time)}
	for n := range dataCentres {
		known.DataCentres[fmt.Sprintf("%02d-%s", n, strings.Repeat("x", 60))] = start.Add(-time.Duration(n) * time.Second)
	}
	for n := range targets {
		known.Targets[baobabstep.TargetID(n)+1<<39] = start.Add(-time.Duration(n) * time.Second)
	}
	return known
}

// Guards against a VM that has just started and takes what fits a heartbeat for all returns.
func TestReturnsInHeartbeat(t *testing.T) {
	for _, test := range []struct {
		name                 string
		sent                 *baobabstep.Returns
		dataCentres, targets int
		since                time.Time
	}{
		{"not relevant", nil, 0, 0, time.Time{}},
		{"none", returns(0, 0), 0, 0, start.Add(-time.Hour)},
		{"just started", &baobabstep.Returns{Since: start}, 0, 0, start},
		{"since unknown", &baobabstep.Returns{DataCentres: returns(1, 0).DataCentres}, 1, 0, time.Time{}},
		{"as many as fit", returns(maxDataCentreReturns, maxTargetReturns), maxDataCentreReturns, maxTargetReturns, start.Add(-time.Hour)},
		{"too many data centres", returns(maxDataCentreReturns+3, 1), maxDataCentreReturns, 1, time.Time{}},
		{"too many targets", returns(1, maxTargetReturns+1), 1, maxTargetReturns, time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sender := newPeerTable(1)
			sender.Handle(start, address(3), newHeartbeat(3, 1, 0))
			loads := make([]baobabstep.TargetLoad, 2*maxLoads)
			for i := range loads {
				loads[i] = baobabstep.TargetLoad{Target: baobabstep.TargetID(i + 1), Requests: 1}
			}
			h := reencode(t, sender.Announce(start, LocalState{Loads: loads, Returns: test.sent}, false)[0].Message).Heartbeat
			qt.Check(t, h.Loads, qt.HasLen, loadLimit(test.sent))
			got := h.Returns(start)
			qt.Check(t, got.Since.Equal(test.since), qt.IsTrue, qt.Commentf("got %v", got.Since))
			qt.Check(t, got.DataCentres, qt.HasLen, test.dataCentres)
			qt.Check(t, got.Targets, qt.HasLen, test.targets)
			for name, at := range got.DataCentres {
				qt.Check(t, at.Equal(test.sent.DataCentres[name]), qt.IsTrue)
			}
			for id, at := range got.Targets {
				qt.Check(t, at.Equal(test.sent.Targets[id]), qt.IsTrue)
			}
		})
	}
	t.Run("values out of range are not in the future", func(t *testing.T) {
		h := &Heartbeat{DataCentreReturns: []DataCentreReturn{{"a", math.MaxUint32}}, TargetReturns: []TargetReturn{{7, math.MaxUint32}}, ReturnsKnownMS: math.MaxUint32}
		got := h.Returns(start)
		qt.Check(t, got.Since.Before(start) && got.DataCentres["a"].Before(start) && got.Targets[7].Before(start), qt.IsTrue)
	})
	t.Run("too many are malformed", func(t *testing.T) {
		for _, set := range []func(h *Heartbeat){
			func(h *Heartbeat) { h.DataCentreReturns = make([]DataCentreReturn, maxDataCentreReturns+1) },
			func(h *Heartbeat) { h.TargetReturns = make([]TargetReturn, maxTargetReturns+1) },
		} {
			h := newHeartbeat(3, 1, 0)
			set(h)
			raw, err := Encode(&Message{Heartbeat: h})
			qt.Assert(t, err, qt.IsNil)
			_, err = Decode(raw)
			qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
		}
	})
}
