// Package blame tells the requests that crash replicas from those that were
// merely in flight when a replica ended.
//
// A request has a key for the whole of it and one for each part of its prompt
// that other requests may share. A replica that ends takes every request in flight
// with it; the suspects are those that it had not begun to answer. Evidence against
// a key is an end of a replica under it. An answer to a request with the key
// clears it altogether, since what is looked for crashes every replica that runs
// it. An end that one part explains counts against no other key. After suspectAfter
// ends, copies of the request wait for a trial, which each daemon makes at a
// random time and one at a time. After convictAfter ends the key is convicted,
// and its requests are refused until the conviction expires. A conviction comes
// into force settleTime late, so that daemons that have seen an answer can object.
//
// All daemons exchange their evidence as entries of the replicated log, since
// copies of a request come at any daemon. What a daemon has seen itself counts at
// once. Without a leader each daemon decides by what it knows.
//
// A part is blamed only if different requests with it have ended replicas; for one
// request, the key of the whole request is enough.
//
// Replicas that end in the same moment count as one end: what stops a whole data
// centre is no request.
package blame
