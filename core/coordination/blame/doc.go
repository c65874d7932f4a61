// Package blame tells the requests that crash replicas from those that were
// merely in flight when a replica ended.
//
// A request has a key for the whole of it and one for each part of its prompt
// that other requests may share. A replica that ends takes every request in flight
// with it. All of them are suspects, however much of the answer has arrived: a
// request may end its replica at any moment before the end of the answer. Evidence
// against a key is an end of a replica under it. A whole answer to a request with
// the key clears it altogether, since what is looked for crashes every replica that
// runs it.
//
// The key under which most replicas have ended explains these ends, which then
// count against no other key. Ends count half against a part of which daemons knew
// answers before, as the first parts of all prompts are in flight at any end. The
// place of a part in the prompt is no evidence. Evidence on a long prompt names the
// parts that are most likely at fault.
//
// After suspectAfter ends, copies of the request wait for a trial, which each daemon
// makes at a random time and one at a time. After convictAfter ends, one of them of
// a trial, the key is convicted, and its requests are refused until the conviction
// expires. A conviction comes into force settleTime late, so that daemons that have
// seen an answer can object. Without a trial, replicas that end one after the other
// for another reason would convict the requests that are sent again and again, and
// the parts that are in flight everywhere.
//
// If many replicas end at once there may be none left for a trial. A key that was
// never answered is then accused after accuseUntriedAfter ends. Such an accusation is
// no conviction: one daemon, the prober, makes a trial once replicas are back, and
// the others wait for it.
//
// All daemons exchange their evidence as entries of the replicated log, since
// copies of a request come at any daemon. What a daemon has seen itself counts at
// once. Without a leader each daemon decides by what it knows.
//
// As long as several keys can't be told apart, since all requests under which
// replicas ended have them, only requests with all of them are refused, and those
// with one of them are suspected. For a single request that means its copies. The
// next end or answer tells the keys apart. A conviction of a key is withdrawn once
// other keys explain all of its ends.
//
// Replicas that end in the same moment count as one end: what stops a whole data
// centre is no request.
package blame
