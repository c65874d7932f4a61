// Package upstream implements the protocol between daemons and upstreams:
// engines and plain services.
//
// Upstreams announce themselves to any daemon ([Handler]), send reports
// periodically and announce that they leave. The daemon that owns an engine
// sends it orders and requests for text ([Client]). All messages are JSON over
// HTTP, described with examples in docs/INTERFACES.md; another dialect would
// be another package. [Engine] is the engine's side, for stand-ins and tests.
//
// Nothing an engine sends is trusted unchecked. Every line of an answer names
// the request, the adapter and its version, the engine's incarnation and the
// line's offset. A line that does not match ends the answer with
// result.WrongAnswer and closes the connection; a stream that ends without its
// last line is an error, never a complete answer. A stream that stalls is
// resumed at its offset over a new connection if the engine supports that, and
// only with the same incarnation.
//
// Engines and daemons have different clocks. Deadlines are sent as remaining
// milliseconds. The times in reports and in acknowledgements are read from
// the engine's clock and are comparable only with each other: a report was
// made after an acknowledged order if its time is later than that of the
// acknowledgement.
package upstream
