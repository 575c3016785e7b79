package directory

import "cmp"

// Position is a point in the history of the platform's store. The store increments Era each time it is restored from an older copy,
// and then gives out the lost revisions again: revisions of different eras do not tell which change is later.
type Position struct{ Era, Revision uint64 }

// Compare returns a negative number if p is before o, 0 if they are equal, and a positive number if p is after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// IsBefore reports whether p is before o.
func (p Position) IsBefore(o Position) bool { return p.Compare(o) < 0 }

// IsZero reports whether p is the zero position, which no change of the store has.
func (p Position) IsZero() bool { return p == Position{} }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.IsBefore(b) {
		return b
	}
	return a
}
