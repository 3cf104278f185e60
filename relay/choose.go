package relay

import (
	"hash/fnv"
	"math"
)

// Member is a node that can act as a relay.
type Member struct {
	Name, Address, DataCentre string
	Cores                     float64 // processors of the node; it gets servers in proportion
}

// Choose returns the relay for a server. It uses weighted rendezvous hashing, so that a node that joins or leaves moves only its own servers. It
// prefers nodes in the server's data centre, so that reports cross between data centres only once and in short form. It returns false if there
// are no members.
func Choose(members []Member, server, dataCentre string) (Member, bool) {
	var best Member
	bestScore, foundLocal := math.Inf(-1), false
	for _, m := range members {
		local := m.DataCentre == dataCentre
		if foundLocal && !local {
			continue
		}
		score := m.score(server)
		if local && !foundLocal || score > bestScore || score == bestScore && m.Name < best.Name {
			best, bestScore, foundLocal = m, score, local
		}
	}
	return best, len(members) > 0
}

// score returns the member's pseudo-random score for a server. The highest score wins, with a probability in proportion to the member's processors.
func (m Member) score(server string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Name)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	uniform := (float64(mixBits(h.Sum64())>>11) + 0.5) / (1 << 53)
	return -max(m.Cores, minCores) / math.Log(uniform)
}

// minCores is assumed for a node that reports fewer processors or none.
const minCores = 0.05

// mixBits spreads the bits of a hash, because the high bits of FNV differ little between names that differ only in the last byte.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
