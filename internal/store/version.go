package store

// A store that is restored from a backup loses its newest writes and gives out their
// revisions again. Its generation rises then, so a version consists of both: versions of
// a later generation are larger, and those of an earlier one are never given out again.
const revisionBits = 48

// NewVersion returns the version of a revision in a generation of the store.
func NewVersion(generation, revision int64) Version {
	return Version(generation<<revisionBits | revision)
}

// Generation returns how often the store was restored; 0 for a store that does not say.
func (v Version) Generation() int64 { return int64(v) >> revisionBits }

// Revision returns the number of the write within its generation.
func (v Version) Revision() int64 { return int64(v) & (1<<revisionBits - 1) }
