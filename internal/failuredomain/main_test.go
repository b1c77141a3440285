package failuredomain

import (
	"cmp"
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("FOXTAILHUB_SEED"), "1")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
