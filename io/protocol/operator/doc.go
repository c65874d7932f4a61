// Package operator implements the operators' interface: JSON over HTTP on a
// dedicated listener. Every request carries the token.
//
// A change names the object, the version that the operator saw and a unique
// id. The answer is accepted (in force on every daemon that accepts work),
// pending (durable, not yet in force everywhere) or refused with a result code.
// A retry with the same id gets the first answer, so a client whose connection
// failed simply retries.
package operator
