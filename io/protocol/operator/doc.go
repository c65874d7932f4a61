// Package operator speaks with the operators' client: JSON over HTTP on a
// listener of its own, every call with the token.
//
// A change names the object, the version that the operator saw and an id of
// its own. The answer is one of three: accepted (in force everywhere that takes
// work), pending (durable, not yet in force everywhere) or refused with a
// numbered result. A resend with the same id gets the first answer, so a
// client whose connection broke simply sends again.
package operator
