package settings_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"papayaspoke/core/result"
	"papayaspoke/io/settings"
)

const good = `name = "a"
centre = "piraeus"
data = "data"
[listen]
caller = "127.0.0.1:7000"
operator = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
[cluster]
peers = ["127.0.0.1:7102"]
voters = ["a", "b", "c"]
token = "token"
`

func token(string) ([]byte, error) { return []byte("0123456789\n"), nil }

func TestParseGood(t *testing.T) {
	s, err := settings.Parse(good, "/etc/p", token)
	assert.NilError(t, err)
	assert.Equal(t, s.DataFolder(), "/etc/p/data")
	assert.Equal(t, s.Token(), "0123456789")
	assert.Equal(t, len(s.Voters()), 3)
}

func TestParseNamesTheLine(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":      {`name = "a"`, "name = \"a\"\ncolour = 1", `line 2: unknown key "colour"`},
		"unknown in table": {`[cluster]`, "[cluster]\npeer = 1", `line 9: unknown key "cluster.peer"`},
		"bad syntax":       {`centre = "piraeus"`, `centre = `, "line 2: "},
		"missing name":     {`name = "a"`, ``, "line 1: name is missing"},
		"bad address":      {`"127.0.0.1:7001"`, `"localhost:7001"`, `line 6: listen.operator "localhost:7001" is not IP:PORT`},
		"any address":      {`"127.0.0.1:7000"`, `"0.0.0.0:7000"`, "line 5: listen.caller"},
		"even voters":      {`["a", "b", "c"]`, `["a", "b"]`, "line 10: cluster.voters must be"},
		"voter no disk":    {`data = "data"`, ``, `line 10: "a" is listed as a voter but has no data folder`},
		"wrong type":       {`name = "a"`, `name = 3`, "line 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse(strings.Replace(good, c.old, c.new, 1), "/", token)
			assert.Equal(t, result.CodeOf(err), result.SettingsInvalid)
			assert.Check(t, cmp.Contains(err.Error(), c.want))
		})
	}
}

func TestParseTokenFile(t *testing.T) {
	_, err := settings.Parse(good, "/", func(string) ([]byte, error) { return nil, errors.New("no such file") })
	assert.ErrorContains(t, err, "line 11: cluster.token: no such file")
}
