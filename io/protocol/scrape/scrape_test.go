package scrape_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	tally "github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"papayaspoke/io/protocol/scrape"
)

// TestGaugesComeFirst guards against metrics pages whose beginning, which is all
// that some collectors keep, says nothing of this project.
func TestGaugesComeFirst(t *testing.T) {
	m := scrape.New(map[string]string{"daemon": "d1"})
	m.Scope().Histogram("answer", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 10)).RecordDuration(time.Second)
	m.Scope().Counter("requests").Inc(1)
	m.Scope().Gauge("routing").Update(7)
	assert.NilError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page := w.Body.String()
	last := -1
	for _, name := range []string{"\npapayaspoke_routing{", "\npapayaspoke_requests{", "\npapayaspoke_answer_bucket{", "\ngo_goroutines "} {
		at := strings.Index(page, name)
		assert.Assert(t, at > last, "%q stands at %d, the one before it at %d", name, at, last)
		last = at
	}
}
