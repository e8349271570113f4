package room_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests, so that each run gives the same result;
// -args -rapid.seed=N selects another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
