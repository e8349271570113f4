package token

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Guards against tokens that depend on the program version. During a rolling upgrade,
// callers carry tokens of one version to VMs of another, whose tokens must be the same.
func TestTokensAreStable(t *testing.T) {
	for _, test := range []struct {
		flow flowHash
		id   baobabstep.TargetID
		want uint32
	}{
		{0, 1, 0x4e17cf67},
		{0, 0x7f3a91c2, 0x70d6a362},
		{0, 0x8000000000, 0xa22997a7},
		{1, 1, 0xf7622d37},
		{1, 0x7f3a91c2, 0x4503808c},
		{0xdeadbeefcafe, 0x7f3a91c2, 0x92a26f13},
		{0xdeadbeefcafe, 0x8000000000, 0x3c0b3386},
	} {
		t.Run(fmt.Sprintf("%x at %x", uint64(test.flow), uint64(test.id)), func(t *testing.T) {
			qt.Assert(t, tokenFor(test.flow, test.id), qt.Equals, test.want)
		})
	}
}
