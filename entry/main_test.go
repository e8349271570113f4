package entry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised runs, so that each run has one verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
