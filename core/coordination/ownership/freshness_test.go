package ownership_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/witness"
)

// TestFreshnessAgrees checks that the wait before the next assignment is
// derived from the same period for which a daemon may write without a new
// confirmation.
func TestFreshnessAgrees(t *testing.T) {
	assert.Equal(t, ownership.Freshness, witness.FreshFor)
}
