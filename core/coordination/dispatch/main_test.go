package dispatch_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their results are
// reproducible. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
