package server

import (
	"math"
	"time"
)

const (
	// transitTime is how long a head may be on its way beyond the time in which its peer
	// has to send it.
	transitTime = time.Second
	// idleMargin divides the time that a connection may be idle. It stays open for that
	// part longer: a request may be on its way.
	idleMargin = 5
	// maxTimeout is the longest timeout that is applied.
	maxTimeout = 24 * time.Hour
)

// Limits bound what a peer may send. Each request has the limits that hold when it
// begins. Fields that are not positive mean the defaults.
type Limits struct {
	// HeadBytes is the largest head, from the method to the empty line; BodyBytes is the
	// largest body.
	HeadBytes, BodyBytes int
	// HeadTimeout is how long a peer may take to send a head, IdleTimeout how long a
	// connection may be idle.
	HeadTimeout, IdleTimeout time.Duration
}

// limits returns the limits that hold now; the sizes are positive.
func (s *Server) limits() Limits {
	var l Limits
	if s.opts.Limits != nil {
		l = s.opts.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = maxHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = s.opts.MaxBody
	}
	l.HeadBytes, l.BodyBytes = min(l.HeadBytes, math.MaxInt32), min(l.BodyBytes, math.MaxInt32)
	l.HeadTimeout, l.IdleTimeout = min(l.HeadTimeout, maxTimeout), min(l.IdleTimeout, maxTimeout)
	return l
}

// headDeadline returns when a head must have arrived whose first byte arrived at now.
func (s *Server) headDeadline(now time.Time) time.Time {
	whole := s.opts.ReceiveDeadline(now)
	t := s.limits().HeadTimeout
	if t <= 0 {
		return whole
	}
	if at := now.Add(t + transitTime); at.Before(whole) {
		return at
	}
	return whole
}

// idleDeadline returns when a connection is closed that is idle at now.
func (s *Server) idleDeadline(now time.Time) time.Time {
	if t := s.limits().IdleTimeout; t > 0 {
		return now.Add(t + t/idleMargin)
	}
	return s.opts.IdleDeadline(now)
}
