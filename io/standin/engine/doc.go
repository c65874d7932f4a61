// Package engine implements a stand-in for a model engine. It has adapter slots,
// load times, continuous batching and a token rate, but generates artificial
// text.
//
// Each chunk of the text names the adapter with its version, the digest of the
// prompt and the offset of the chunk. A test can therefore tell that an answer
// was generated for its request, and is complete and in order; see [Expected].
// Options inject faults: a prompt that crashes the engine, loads that fail,
// outdated state reports, and fencing numbers that are ignored.
package engine
