package heartbeat

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomized tests, so that their results are reproducible.
// -args -rapid.seed=N selects another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
