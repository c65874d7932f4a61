// Package load sends requests for text as many callers would: adapters of
// very unequal popularity, classes in a given mix, addresses asked for and
// kept as long as the answer allows. It checks that every answer was made by
// the adapter that it was asked of, and measures from the time at which a
// request was due, so that a slow answer does not hide the wait of those
// behind it.
package load
