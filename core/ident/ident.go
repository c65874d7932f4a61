// Package ident defines the names and numbers by which the parts of the
// system refer to one another. They are distinct types so that a replica's
// name cannot be passed where a daemon's is meant.
package ident

import (
	"fmt"
	"strings"
)

// Daemon is the configured name of a daemon, unique in a cluster. A replaced
// VM may carry the name of the one that it replaces.
type Daemon string

// Incarnation tells one run of a process from the next. It is drawn at random
// or counted up by the process that it belongs to and never zero once known.
type Incarnation uint64

// DataCentre names a failure domain, as set in the settings file.
type DataCentre string

// Upstream is the name that an engine replica or a plain service replica
// announces itself by.
type Upstream string

// Service is the name of a plain service, shared by its replicas.
type Service string

// Class is the name of a class of work.
type Class string

// Model is the name of a base model.
type Model string

// Fence is a fencing number. A larger number belongs to a later owner.
type Fence uint64

// Request is the system's own id of one request, unique across daemons.
type Request string

// Change is the id that an operator gives to a change, so that a resend can
// be told from a new change.
type Change string

// Attempt tells the daemon's own try at a non-idempotent request from others
// with the same key.
type Attempt string

// Key is an Idempotency-Key as given by a caller.
type Key string

// Adapter names an adapter at an exact version.
type Adapter struct {
	// Name is not empty and holds no '@'.
	Name string
	// Version is not empty and holds no '@'.
	Version string
}

// ParseAdapter reads "name@version". It returns an error if either part is
// empty or if there is more than one '@'.
func ParseAdapter(s string) (Adapter, error) {
	name, version, ok := strings.Cut(s, "@")
	if !ok || name == "" || version == "" || strings.Contains(version, "@") {
		return Adapter{}, fmt.Errorf("adapter %q is not name@version", s)
	}
	return Adapter{Name: name, Version: version}, nil
}

// String returns "name@version".
func (a Adapter) String() string { return a.Name + "@" + a.Version }

// IsZero reports whether a names no adapter.
func (a Adapter) IsZero() bool { return a == Adapter{} }

// Compare orders adapters by name, then version.
func (a Adapter) Compare(b Adapter) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}
