package gateway

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzEvents feeds a replica's bytes in chunks of any size: what is forwarded
// is a prefix of the input, ends with a whole event, and does not depend on the
// sizes of the chunks.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), 3)
	f.Add([]byte("\n\n\n\nid:\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(1, min(size, 64))
		var out []byte
		var e eventParser
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			whole, err := e.add(rest[:n])
			if err != nil {
				return
			}
			out = append(out, whole...)
			rest = rest[n:]
		}
		assert.Assert(t, bytes.HasPrefix(stream, out))
		assert.Equal(t, e.rest(), len(stream)-len(out))
		var once eventParser
		whole, err := once.add(stream)
		assert.NilError(t, err)
		// An extra empty line after an event may go with it or with the next
		// one.
		assert.Assert(t, bytes.Equal(bytes.TrimRight(whole, "\n"), bytes.TrimRight(out, "\n")))
		assert.Equal(t, once.lastEventID, e.lastEventID)
	})
}
