package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordID returns the ID of a quarantine of parts that begins at a time.
func recordID(parts []string, began time.Time) string {
	sum := xxhash.Sum64String(strings.Join(parts, "\x00") + began.UTC().Format(time.RFC3339Nano))
	return strconv.FormatUint(sum, 16)
}

func (r *Record) clone() *Record {
	copied := *r
	copied.Parts = slices.Clone(r.Parts)
	return &copied
}

// Records returns the quarantines that have not ended and those that were lifted before
// their end, sorted by ID.
func (t *Tracker) Records(now time.Time) []Record {
	t.expire(now)
	var records []Record
	for _, id := range slices.Sorted(maps.Keys(t.quarantines)) {
		records = append(records, *t.quarantines[id].clone())
	}
	return records
}

// Merge adopts the quarantines that other instances have recorded. What either side has
// lifted or narrowed stays so.
func (t *Tracker) Merge(now time.Time, records []Record) {
	t.expire(now)
	for _, r := range records {
		if !now.Before(r.Until) || len(r.Parts) == 0 {
			continue
		}
		r.Until = minTime(r.Until, now.Add(Lifetime))
		known := t.quarantines[r.ID]
		if known == nil {
			if len(t.quarantines) < maxQuarantines {
				r.Parts = slices.Clone(r.Parts)
				t.quarantines[r.ID] = &r
			}
			continue
		}
		known.Lifted = known.Lifted || r.Lifted
		if common := intersection(known.Parts, r.Parts); len(common) > 0 {
			known.Parts = common
		}
	}
}

// Unrecorded returns the quarantines that differ from what is recorded, or that are missing
// there, for example because the store was restored from a backup.
func (t *Tracker) Unrecorded(now time.Time, recorded []Record) []Record {
	byID := map[string]Record{}
	for _, r := range recorded {
		byID[r.ID] = r
	}
	return slices.DeleteFunc(t.Records(now), func(r Record) bool {
		known, ok := byID[r.ID]
		return ok && known.Equal(r) || !ok && r.Lifted
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// containsAll reports whether parts has all of wanted.
func containsAll(parts, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(part string) bool { return !slices.Contains(parts, part) })
}

// intersection returns the elements of a that are also in b.
func intersection(a, b []string) (common []string) {
	for _, part := range a {
		if slices.Contains(b, part) {
			common = append(common, part)
		}
	}
	return common
}

// without returns the elements of a that are not in b.
func without(a, b []string) (rest []string) {
	for _, part := range a {
		if !slices.Contains(b, part) {
			rest = append(rest, part)
		}
	}
	return rest
}
