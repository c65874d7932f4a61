// Package pace schedules what is sent to a replica: the prompts that an engine
// has to prefill, and the requests to an overloaded replica of a plain service.
//
// # Why
//
// An engine prefills new prompts between the decode steps of running requests:
// each step of its batch takes longer by the prefill done in it. Many prompts
// at once pause every stream of the replica, and one long pause makes a whole
// stream late. Spacing the prompts takes no longer in total and keeps the
// pauses within the operator's limit. A chunk of a stream holds the tokens of
// several steps, so the limit applies to the total prefill while one chunk is
// produced: a few prompts at once are harmless.
//
// # How
//
// One daemon hosts the [PromptPacer] of a replica. It is derived from the names
// of both by rendezvous hashing, so no agreement is needed. A daemon that wants
// to send a request reserves the prefill of its prompt there and sends at the
// time it is given. Only latency depends on it: without an answer the request
// is sent at once, and two daemons that both host a pacer only space prompts
// less well.
//
// The same daemon hosts the [AdmissionPacer] of a replica of a plain service.
// It is asked only while the replica refuses requests, and estimates the rate
// at which the replica accepts them.
//
// No configuration states how fast engines prefill and decode. Each daemon
// estimates it per service from the answers that pass through it, and sends the
// estimate along with its reservations.
package pace
