// Package rendezvous assigns keys to members by rendezvous hashing: when a member is
// removed, only the keys assigned to it move.
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
	var highestScore uint64
	for _, member := range members {
		score := scoreOf(key, member)
		if best == "" || score > highestScore || score == highestScore && member > best {
			best, highestScore = member, score
		}
	}
	return best
}

// Order returns the members in order of preference for the key: each one is the member
// that Choose returns when all members before it are removed.
func Order(key string, members []string) []string {
	type scored struct {
		member string
		score  uint64
	}
	all := make([]scored, len(members))
	for i, member := range members {
		all[i] = scored{member, scoreOf(key, member)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(b.member, a.member))
	})
	ordered := make([]string, len(all))
	for i, s := range all {
		ordered[i] = s.member
	}
	return ordered
}

// scoreOf returns the score of a member for a key. The member with the highest score is
// chosen. All instances must compute the same scores.
func scoreOf(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
