// Package budget implements the load budget, which limits how many adapters are
// in transit from the weight store at the same time and how many loads start in
// a second, over all replicas.
//
// The leader runs one [Holder]. Owners send it the loads that they want to
// make, with the benefit of each: the number of waiting requests that can still
// meet their targets. The holder grants permits for the loads with the greatest
// benefit, and among equals for those with the earliest deadline. A permit
// names one adapter on one replica, must be used immediately and is returned
// when the load has ended. A permit that is not returned expires.
//
// An owner that cannot reach a holder falls back to a fixed share, see
// [FallbackShare]. The shares of all owners add up to no more than the limit. A
// holder reserves the share of every owner that it has not heard from recently
// or that reports the use of its share, so that permits and shares together
// also stay within the limit. A new holder grants nothing until it has heard
// from every owner, or until all permits of the previous holder have expired.
package budget
