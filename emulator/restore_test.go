package emulator

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against flows to leaving targets, and refused callers, while a restored store
// lacks what targets wrote last.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	d := load(t, "small")
	d.Seconds = 14
	replaced := Trouble{Kind: KindTargetReplace, AtMS: 5000, Share: 0.4, GapMS: 200}
	for seed := range uint64(3) {
		calm := play(t, d, Options{Seed: seed, Troubles: []Trouble{replaced}})
		r := play(t, d, Options{Seed: seed, Troubles: []Trouble{
			{Kind: KindStoreRestore, AtMS: 4500, GapMS: 2000, ForMS: 1000}, replaced,
		}})
		comment := qt.Commentf("seed %d: %+v, worth %.4f, without a restore %.4f", seed, r.Promises, r.Worth, calm.Worth)
		qt.Check(t, calm.Promises.LeavingLate, qt.Equals, 0, comment)
		qt.Check(t, r.Promises.LeavingLate, qt.Equals, 0, comment)
		qt.Check(t, r.Worth > 0.95, qt.IsTrue, comment)
		t.Log(comment.String())
	}
}
