// Package rendezvous assigns keys to members by rendezvous hashing: when a
// member goes, only its own keys move.
package rendezvous

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the member that the key is assigned to, or an empty string when
// there are no members. The order of members does not matter.
func Choose(key string, members []string) string {
	var best string
	var highest uint64
	for _, member := range members {
		weight := score(key, member)
		if best == "" || weight > highest || weight == highest && member > best {
			best, highest = member, weight
		}
	}
	return best
}

// Order returns the members in the order in which the key would be assigned to them
// if those before were not there.
func Order(key string, members []string) []string {
	type scored struct {
		member string
		weight uint64
	}
	all := make([]scored, len(members))
	for i, member := range members {
		all[i] = scored{member, score(key, member)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(b.member, a.member))
	})
	ordered := make([]string, len(all))
	for i, s := range all {
		ordered[i] = s.member
	}
	return ordered
}

func score(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
