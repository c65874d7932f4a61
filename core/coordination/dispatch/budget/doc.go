// Package budget holds the load budget: how many adapters may be in transit
// from the weight store, and how many loads may start in a second, over all
// replicas.
//
// The leader runs one [Holder]. Owners tell it what they want to load, and
// what each load would save: the waiting requests that can still meet their
// targets. The holder hands out permits for the loads that save most, those
// with the least slack first among equals. A permit names one adapter on one
// replica, must be used at once and is returned when the load has ended; a
// permit that nobody returns expires.
//
// An owner that cannot reach a holder falls back to a fixed share, see
// [FallbackShare]. Shares of all owners add up to no more than the limit. A holder
// keeps back the share of every owner that it has not heard from lately or
// that says it has fallen back, so that permits and shares together stay
// within the limit too. A new holder grants nothing until it has heard from
// every owner, or until all permits of the holder before have expired.
package budget
