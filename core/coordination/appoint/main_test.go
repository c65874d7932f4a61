package appoint

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that the verdict is the same every time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
