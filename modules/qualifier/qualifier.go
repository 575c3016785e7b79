// Package qualifier combines the revision of a document with the era of the store that gave it out. A store that is restored from an
// older copy gives the lost revisions out again, in the next era. Qualified revisions are ordered by era first, so that a revision of a
// later era is higher than all of earlier ones.
package qualifier

import "github.com/rotisserie/eris"

// revisionBits is the number of bits of the revision within its era.
const revisionBits = 40

// ErrOutOfRange is returned for an era or a revision that is too large.
var ErrOutOfRange = eris.New("era or revision is out of range: number revisions below 2^40 and eras below 2^24")

// IsErrOutOfRange reports whether err is an ErrOutOfRange.
func IsErrOutOfRange(err error) bool { return eris.Is(err, ErrOutOfRange) }

// Qualify returns the qualified revision. In the first era, and for a store that states none (era 0), it equals the revision.
func Qualify(era, revision uint64) (uint64, error) {
	if era >= 1<<(64-revisionBits) || revision >= 1<<revisionBits {
		return 0, ErrOutOfRange
	}
	return max(era, 1)<<revisionBits - 1<<revisionBits | revision, nil
}

// Split returns the era, at least 1, and the revision of a qualified revision.
func Split(qualified uint64) (era, revision uint64) {
	return qualified>>revisionBits + 1, qualified & (1<<revisionBits - 1)
}
