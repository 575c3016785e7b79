// Package counter provides a fixed set of named event counters that are safe for concurrent use.
package counter

import "sync/atomic"

// Set is a fixed set of counters, one for each name.
type Set struct {
	names  []string
	values []atomic.Uint64
}

// New returns a Set with a counter of value 0 for each name. A counter has the index of its name.
func New(names []string) *Set {
	return &Set{names: names, values: make([]atomic.Uint64, len(names))}
}

// Add adds n to the counter with index i.
func (s *Set) Add(i int, n uint64) { s.values[i].Add(n) }

// Value returns the value of the counter with index i.
func (s *Set) Value(i int) uint64 { return s.values[i].Load() }

// Names returns the names in index order.
func (s *Set) Names() []string { return s.names }

// Snapshot returns the values of all counters by name. Increments during the call may or may not be included.
func (s *Set) Snapshot() map[string]uint64 {
	values := make(map[string]uint64, len(s.names))
	for i, name := range s.names {
		values[name] = s.values[i].Load()
	}
	return values
}
