package relay

import (
	"hash/fnv"
	"math"
)

// Member is a node that may be a relay.
type Member struct {
	Name, Address, DataCentre string
	Cores                     float64 // of its processor; it gets servers in proportion
}

// Choose returns the relay of a server: by weighted rendezvous hashing, so that a node that comes or goes moves only its own servers, and among
// the nodes of the server's data centre if there are any, so that reports cross between data centres only once and in short form. It reports
// false if there are no members.
func Choose(members []Member, server, dataCentre string) (Member, bool) {
	var best Member
	bestScore, near := math.Inf(-1), false
	for _, m := range members {
		inside := m.DataCentre == dataCentre
		if near && !inside {
			continue
		}
		score := m.score(server)
		if inside && !near || score > bestScore || score == bestScore && m.Name < best.Name {
			best, bestScore, near = m, score, inside
		}
	}
	return best, len(members) > 0
}

// score is the member's draw for a server; the highest one wins, with chances in proportion to the members' processors.
func (m Member) score(server string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Name)) // a hash takes every write
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	draw := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
	return -max(m.Cores, leastCores) / math.Log(draw)
}

// leastCores is taken for a node that doesn't say how strong it is.
const leastCores = 0.05

// mix spreads the bits of a hash. The high bits of FNV differ little between names that differ in the last byte.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
