// Package engine is a stand-in for a model engine: it has adapter slots, load
// times, continuous batches and a token pace, but its text is made up.
//
// The text names the adapter at its version and the prompt's digest in every
// piece, so that whoever reads an answer can tell that it was made for this
// request, whole and in order; see [Expected]. Faults are options: a prompt
// that crashes it, loads that fail, reports that lag, fencing numbers that are
// ignored.
package engine
