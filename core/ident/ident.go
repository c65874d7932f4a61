// Package ident defines the names and numbers that identify the objects of the
// system. They are distinct types, so that the name of a replica, for example,
// cannot be passed as that of a daemon.
package ident

import (
	"fmt"
	"strings"
)

// Daemon is the configured name of a daemon, unique in a cluster. A daemon on a
// new VM may have the name of the daemon that it replaces.
type Daemon string

// Incarnation distinguishes the runs of a process. The process draws it at
// random or increments it at each start. It is never 0 once it is known.
type Incarnation uint64

// DataCentre is the name of a failure domain, as set in the settings file.
type DataCentre string

// Upstream is the name under which an engine replica or a replica of a plain
// service announces itself.
type Upstream string

// Service is the name of a plain service, shared by its replicas.
type Service string

// Class is the name of a request class.
type Class string

// Model is the name of a base model.
type Model string

// Fence is a fencing number. A larger number belongs to a later owner or placer.
type Fence uint64

// Request is the id that a daemon gives to a request, unique across daemons.
type Request string

// Change is the id that an operator gives to a change. It distinguishes a resend
// from a new change.
type Change string

// Attempt identifies one attempt of a daemon to run a non-idempotent request
// among all attempts with the same key.
type Attempt string

// Key is an Idempotency-Key as sent by a caller.
type Key string

// Adapter names an adapter at an exact version.
type Adapter struct {
	// Name is not empty and contains no '@'.
	Name string
	// Version is not empty and contains no '@'.
	Version string
}

// ParseAdapter parses "name@version". It returns an error if either part is
// empty or if there is more than one '@'.
func ParseAdapter(s string) (Adapter, error) {
	name, version, ok := strings.Cut(s, "@")
	if !ok || name == "" || version == "" || strings.Contains(version, "@") {
		return Adapter{}, fmt.Errorf("adapter %q is not of the form name@version", s)
	}
	return Adapter{Name: name, Version: version}, nil
}

// String returns "name@version".
func (a Adapter) String() string { return a.Name + "@" + a.Version }

// IsZero reports whether a is the zero Adapter, which names none.
func (a Adapter) IsZero() bool { return a == Adapter{} }

// Compare compares two adapters by name, then by version.
func (a Adapter) Compare(b Adapter) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}
