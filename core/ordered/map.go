package ordered

import "iter"

// Map is an immutable map that is ordered by its keys. The zero Map is not
// usable; create one with [New].
type Map[K, V any] struct {
	root *node[K, V]
	// cmp defines a total order and is never nil.
	cmp func(a, b K) int
}

type node[K, V any] struct {
	// left holds the smaller keys and right the larger ones. Their heights
	// differ by at most one.
	left, right *node[K, V]
	// height is one more than the larger height of the children.
	height int32
	// size is the number of nodes in the subtree.
	size  int32
	key   K
	value V
}

// New returns an empty map ordered by cmp.
func New[K, V any](cmp func(a, b K) int) Map[K, V] {
	return Map[K, V]{cmp: cmp}
}

// FromSorted returns a map from keys[i] to values[i] and true, or false if the
// keys are not in strictly ascending order. It allocates one node for each key.
func FromSorted[K, V any](cmp func(a, b K) int, keys []K, values []V) (Map[K, V], bool) {
	for i := 1; i < len(keys); i++ {
		if cmp(keys[i-1], keys[i]) >= 0 {
			return Map[K, V]{}, false
		}
	}
	return Map[K, V]{root: build(keys, values), cmp: cmp}, true
}

func build[K, V any](keys []K, values []V) *node[K, V] {
	if len(keys) == 0 {
		return nil
	}
	i := len(keys) / 2
	return updateCounts(&node[K, V]{
		left:  build(keys[:i], values[:i]),
		right: build(keys[i+1:], values[i+1:]),
		key:   keys[i],
		value: values[i],
	})
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int { return int(size(m.root)) }

// Depth returns the number of nodes on the longest path from the root, which is
// at most about 1.44 log2(n) for n keys.
func (m Map[K, V]) Depth() int { return int(height(m.root)) }

// Get returns the value of k, and whether k is in the map.
func (m Map[K, V]) Get(k K) (V, bool) {
	n := m.root
	for n != nil {
		c := m.cmp(k, n.key)
		if c == 0 {
			return n.value, true
		}
		if c < 0 {
			n = n.left
		} else {
			n = n.right
		}
	}
	var zero V
	return zero, false
}

// Has reports whether k is in the map.
func (m Map[K, V]) Has(k K) bool {
	_, ok := m.Get(k)
	return ok
}

// Put returns a copy of the map in which k has the value v.
func (m Map[K, V]) Put(k K, v V) Map[K, V] {
	return Map[K, V]{root: m.put(m.root, k, v), cmp: m.cmp}
}

// Delete returns a copy of the map without k.
func (m Map[K, V]) Delete(k K) Map[K, V] {
	if !m.Has(k) {
		return m
	}
	return Map[K, V]{root: m.remove(m.root, k), cmp: m.cmp}
}

// Min returns the smallest key and its value, or false if the map is empty.
func (m Map[K, V]) Min() (K, V, bool) {
	if m.root == nil {
		var k K
		var v V
		return k, v, false
	}
	n := leftmost(m.root)
	return n.key, n.value, true
}

// All iterates over the map in the order of its keys.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { m.root.walk(yield) }
}

// From iterates, in order, over the keys that are not smaller than k.
func (m Map[K, V]) From(k K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { m.walkFrom(m.root, k, yield) }
}

// Values returns the values in the order of their keys.
func (m Map[K, V]) Values() []V {
	out := make([]V, 0, m.Len())
	for _, v := range m.All() {
		out = append(out, v)
	}
	return out
}

func (m Map[K, V]) put(n *node[K, V], k K, v V) *node[K, V] {
	if n == nil {
		return &node[K, V]{height: 1, size: 1, key: k, value: v}
	}
	c := *n
	switch d := m.cmp(k, n.key); {
	case d == 0:
		c.key, c.value = k, v
		return &c
	case d < 0:
		c.left = m.put(n.left, k, v)
	default:
		c.right = m.put(n.right, k, v)
	}
	return balance(&c)
}

// remove returns the subtree n without k, which must be in it.
func (m Map[K, V]) remove(n *node[K, V], k K) *node[K, V] {
	c := *n
	switch d := m.cmp(k, n.key); {
	case d < 0:
		c.left = m.remove(n.left, k)
	case d > 0:
		c.right = m.remove(n.right, k)
	case n.left == nil:
		return n.right
	case n.right == nil:
		return n.left
	default:
		next := leftmost(n.right)
		c.key, c.value = next.key, next.value
		c.right = m.remove(n.right, next.key)
	}
	return balance(&c)
}

func (m Map[K, V]) walkFrom(n *node[K, V], k K, yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	if m.cmp(n.key, k) < 0 {
		return m.walkFrom(n.right, k, yield)
	}
	return m.walkFrom(n.left, k, yield) && yield(n.key, n.value) && n.right.walk(yield)
}

func (n *node[K, V]) walk(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	return n.left.walk(yield) && yield(n.key, n.value) && n.right.walk(yield)
}

func leftmost[K, V any](n *node[K, V]) *node[K, V] {
	for n.left != nil {
		n = n.left
	}
	return n
}

func height[K, V any](n *node[K, V]) int32 {
	if n == nil {
		return 0
	}
	return n.height
}

func size[K, V any](n *node[K, V]) int32 {
	if n == nil {
		return 0
	}
	return n.size
}

// updateCounts sets the height and size of n from its children and returns n.
func updateCounts[K, V any](n *node[K, V]) *node[K, V] {
	n.height = max(height(n.left), height(n.right)) + 1
	n.size = size(n.left) + size(n.right) + 1
	return n
}

// balance restores the invariants of n after one insertion or deletion below it
// and returns the new root of the subtree. It modifies n, which must not be part
// of any map yet; nodes that may be shared are copied before they are rotated.
func balance[K, V any](n *node[K, V]) *node[K, V] {
	switch d := height(n.left) - height(n.right); {
	case d > 1:
		l := *n.left
		if height(l.left) < height(l.right) {
			r := *l.right
			n.left = rotateLeft(&l, &r)
		} else {
			n.left = &l
		}
		return rotateRight(n, n.left)
	case d < -1:
		r := *n.right
		if height(r.right) < height(r.left) {
			l := *r.left
			n.right = rotateRight(&r, &l)
		} else {
			n.right = &r
		}
		return rotateLeft(n, n.right)
	}
	return updateCounts(n)
}

// rotateLeft makes r, the right child of n, the parent of n.
func rotateLeft[K, V any](n, r *node[K, V]) *node[K, V] {
	n.right, r.left = r.left, n
	updateCounts(n)
	return updateCounts(r)
}

// rotateRight makes l, the left child of n, the parent of n.
func rotateRight[K, V any](n, l *node[K, V]) *node[K, V] {
	n.left, l.right = l.right, n
	updateCounts(n)
	return updateCounts(l)
}
