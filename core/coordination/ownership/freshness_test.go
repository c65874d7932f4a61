package ownership_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/witness"
)

// TestFreshnessAgrees fails if the wait before the next owner were shorter
// than a daemon may go on without a confirmation.
func TestFreshnessAgrees(t *testing.T) {
	assert.Equal(t, ownership.Freshness, witness.FreshFor)
}
