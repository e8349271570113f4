package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestJoinAndKill(t *testing.T) {
	x := three(t, 9)
	x.kill("b1")
	killed := x.now
	for len(x.members("a0")) > 8 || len(x.members("b0")) > 8 || len(x.members("c2")) > 8 {
		x.run(tick)
		qt.Assert(t, x.now.Sub(killed) < 10*time.Second, qt.IsTrue)
	}
	t.Logf("killed VM out of all views after %v", x.now.Sub(killed))
	x.run(5 * time.Second)
	x.assertConverged(8)
}
