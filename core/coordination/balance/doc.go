// Package balance chooses, at each daemon, the replica that a request is sent
// to, and bounds how often requests are sent again.
//
// # What a choice rests on
//
// A daemon knows exactly what it has in flight itself. What the others have in
// flight it learns from the placer a few times a second, along with what each
// replica holds. The choice is the replica with the least in flight for its
// size; replicas in other data centres count as if they had more, since bytes
// between data centres are dear. A replica whose connections fail is left out
// for a while that doubles with each failure, and comes back with one request.
//
// # Retries
//
// What all daemons together send again must stay below a share of the traffic,
// or an outage becomes a storm. Each daemon may use its part: the same share of
// its own traffic, and its part of what is allowed besides.
package balance
