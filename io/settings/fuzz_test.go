package settings

import (
	"errors"
	"testing"
)

// FuzzParse checks that no settings file makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add("name = \"d\"\ncentre = \"c\"\n[listen]\nports = \"10.0.0.1:7380\"\n[platform]\nfront = \"10.0.0.1:80\"\npower = 0.4\n")
	f.Add("[platform]\ngrace = nan\npass = 1e308\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse(text, ".", func(string) ([]byte, error) { return nil, errors.New("no file") })
	})
}
