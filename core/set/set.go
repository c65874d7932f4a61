// Package set provides a small generic set.
package set

import (
	"cmp"
	"maps"
	"slices"
)

// Set holds distinct values. The zero value is an empty set that [Set.Add]
// can be called on.
type Set[T cmp.Ordered] struct {
	m map[T]struct{}
}

// Of returns a set of the given values.
func Of[T cmp.Ordered](vs ...T) Set[T] {
	var s Set[T]
	for _, v := range vs {
		s.Add(v)
	}
	return s
}

// Add inserts v.
func (s *Set[T]) Add(v T) {
	if s.m == nil {
		s.m = make(map[T]struct{})
	}
	s.m[v] = struct{}{}
}

// Remove deletes v if it is present.
func (s *Set[T]) Remove(v T) { delete(s.m, v) }

// Has reports whether v is present.
func (s Set[T]) Has(v T) bool { _, ok := s.m[v]; return ok }

// Len returns the number of values.
func (s Set[T]) Len() int { return len(s.m) }

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s.m)) }

// Clone returns an independent copy.
func (s Set[T]) Clone() Set[T] { return Set[T]{m: maps.Clone(s.m)} }
