package ordered_test

import (
	"cmp"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ordered"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestAgainstGoMap compares the map with a Go map and its sorted keys, and
// checks that an earlier version of the map does not change.
func TestAgainstGoMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, want := ordered.New[int, int](cmp.Compare), map[int]int{}
		kept, keptWant := m, map[int]int{}
		for i := range rapid.IntRange(0, 200).Draw(t, "changes") {
			k := rapid.IntRange(0, 60).Draw(t, "key")
			if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
				m = m.Delete(k)
				delete(want, k)
			} else {
				m = m.Put(k, i)
				want[k] = i
			}
			if rapid.IntRange(0, 20).Draw(t, "keep") == 0 {
				kept, keptWant = m, maps.Clone(want)
			}
		}
		assertEqualMap(t, m, want)
		assertEqualMap(t, kept, keptWant)
		assert.Assert(t, m.Depth() <= 9, "map of %d keys has depth %d", m.Len(), m.Depth())
	})
}

func assertEqualMap(t *rapid.T, m ordered.Map[int, int], want map[int]int) {
	keys := slices.Sorted(maps.Keys(want))
	assert.Equal(t, m.Len(), len(keys))
	var got []int
	for k, v := range m.All() {
		got = append(got, k)
		assert.Equal(t, v, want[k])
	}
	assert.Assert(t, slices.Equal(got, keys))
	from := rapid.IntRange(-1, 61).Draw(t, "from")
	i, _ := slices.BinarySearch(keys, from)
	for k := range m.From(from) {
		assert.Equal(t, k, keys[i])
		i++
	}
	assert.Equal(t, i, len(keys))
	for k := -1; k <= 61; k++ {
		v, ok := m.Get(k)
		w, has := want[k]
		assert.Equal(t, ok, has)
		assert.Equal(t, v, w)
	}
	built, ok := ordered.FromSorted(cmp.Compare, keys, m.Values())
	assert.Assert(t, ok)
	assert.DeepEqual(t, built.Values(), m.Values())
	smallest, _, ok := m.Min()
	assert.Equal(t, ok, len(keys) > 0)
	if ok {
		assert.Equal(t, smallest, keys[0])
	}
}

func TestStopEarly(t *testing.T) {
	m := ordered.New[int, int](cmp.Compare)
	for i := range 100 {
		m = m.Put(i, i)
	}
	n := 0
	for range m.From(50) {
		if n++; n == 3 {
			break
		}
	}
	assert.Equal(t, n, 3)
}
