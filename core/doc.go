// Package core holds everything of papayaspoke that decides: state and
// coordination. Nothing below it does input or output or reads a clock; every
// decision is a function of the state, the time passed in and an event. That
// is what makes runs repeatable under test. A test in this package enforces
// the direction of imports.
package core
