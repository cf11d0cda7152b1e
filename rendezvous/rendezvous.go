// Package rendezvous assigns keys to members by rendezvous hashing: when a
// member goes, only its own keys move.
package rendezvous

import "github.com/cespare/xxhash/v2"

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

func score(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
