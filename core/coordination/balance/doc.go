// Package balance selects, at each daemon, the replica that a request is sent
// to, and limits the retry rate.
//
// # Inputs
//
// A daemon knows its own requests in flight exactly. A few times a second the
// placer reports the requests that other daemons have in flight and the weights
// that each replica holds. The balancer picks the replica with the fewest
// requests in flight relative to its size. Replicas in other data centres get a
// cost penalty because traffic between data centres is expensive. A replica
// whose connections fail is ejected for a period that doubles with each
// consecutive failure, and one request then probes it.
//
// # Retries
//
// The retries of all daemons together must stay below a share of the traffic,
// or an outage turns into a retry storm. Each daemon may use its part: the same
// share of its own traffic, plus an equal part of the fixed extra allowance.
package balance
