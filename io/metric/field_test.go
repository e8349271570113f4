package metric

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFields(t *testing.T) {
	type stats struct {
		BytesIn uint64
		OK      uint64
		VMsDead int
		Name    string
	}
	first := Fields(stats{BytesIn: 1, OK: 2, VMsDead: -3, Name: "x"})
	qt.Assert(t, first, qt.DeepEquals, map[string]float64{"bytes_in": 1, "ok": 2, "v_ms_dead": -3})
	qt.Assert(t, Sum(first, first)["ok"], qt.Equals, 4.0)
}
