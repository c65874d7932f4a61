// Package pace spaces out what is sent to a replica: the prompts that an engine
// has to read, and the requests for a plain replica that refuses work.
//
// # Why
//
// A replica reads new prompts between the tokens of running requests: each step
// of its batch takes longer by what is read in it. Many prompts at a time make
// a pause that every stream of the replica feels, and a stream with one long
// pause is late as a whole. Prompts that come one after the other take no longer
// in total, and the pauses stay within what operators allow. A piece of a stream
// holds the tokens of several steps, so what counts is all that is read while one
// piece is made: a few prompts at a time do no harm.
//
// # How
//
// One daemon keeps the [Gate] of a replica; which one follows from the names of
// both, so nobody has to agree on it. Whoever wants to send a request books the
// reading of its prompt there, and sends when told. Nothing depends on it but
// speed: without an answer the request is sent at once, and two daemons that
// both keep a gate only space less well.
//
// The [Door] of a replica of a plain service is kept by the same daemon. It is
// asked only while the replica refuses requests, and learns the rate at which it
// takes them.
//
// How fast engines read and step is not stated anywhere. Each daemon learns it
// from the answers that pass through it, by a [RateEstimator] a service, and sends it
// along.
package pace
