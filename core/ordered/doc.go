// Package ordered holds a persistent ordered map: changing a map returns a
// new one and leaves the old one as it was, so that a reader keeps a
// consistent snapshot without a lock and without a copy.
//
// It is an AVL tree whose changes copy the path from the root to the changed
// node, so one change in a map of n keys allocates about log2(n) nodes.
// Iteration is in the order of the keys, hence the same on every replica.
package ordered
