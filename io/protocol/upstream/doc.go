// Package upstream speaks with engines and plain services.
//
// Upstreams announce themselves to any daemon ([Handler]), refresh what they
// told, and say when they leave. The daemon that owns an engine gives it
// orders and has it generate text ([Client]). All of it is JSON over HTTP,
// described with examples in docs/INTERFACES.md; another dialect would be
// another package. [Engine] is the engine's side, for stand-ins and tests.
//
// Nothing an engine sends is taken on trust. Every line of an answer names
// the request, the adapter at its version, the engine's incarnation and its
// offset. A line that names others ends the answer with result.WrongAnswer
// and drops the connection; a stream that ends without its last line is cut,
// never whole. A stream that goes silent is resumed at its offset over a fresh
// connection if the engine can, at the same incarnation only.
//
// Engines and daemons have different clocks. Deadlines travel as remaining
// milliseconds. The times in reports and in acknowledgements are read from
// the engine's clock and compare only with each other: a report made after an
// acknowledged order is one whose time is later than the acknowledgement's.
package upstream
