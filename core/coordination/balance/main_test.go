package balance

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid so that test results are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
