// Package result defines the numbered result codes of the project and the
// error type that carries them.
//
// Every refusal names one [Code], whichever interface reports it. A code
// determines what callers rely on: whether the request is known not to have
// run, whether a retry may succeed, and the HTTP status and exit status. These
// properties are kept in one table, so that all interfaces agree. A test checks
// docs/RESULTS.md against the table.
package result
