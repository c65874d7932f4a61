// Package ordered provides a persistent ordered map: an update returns a new map
// and leaves the old one unchanged, so that a reader keeps a consistent snapshot
// without a lock and without a copy.
//
// The map is an AVL tree. An update copies the path from the root to the changed
// node, so one update of a map of n keys allocates about log2(n) nodes.
// Iteration is in the order of the keys and hence the same on every replica.
package ordered
