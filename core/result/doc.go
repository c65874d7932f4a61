// Package result defines the numbered result codes of the project and the
// error type that carries them.
//
// Every refusal, whatever interface it is told through, names one [Code].
// A code fixes three things that callers rely on: whether the request is
// known not to have run, whether sending it again may help, and the HTTP
// status and exit status it maps to. They stand in one table so that no
// interface can disagree with another. docs/RESULTS.md is checked against the
// table by a test.
package result
