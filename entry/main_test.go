package entry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests, so that they are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
