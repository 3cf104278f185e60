package fleet

// maxNonMembers is the number of non-member writers whose last sequence number is kept. At 79 replacements a day it covers
// 50 days; no record is delayed in the network for that long.
const maxNonMembers = 4096

// NonMembers holds the last batch sequence numbers of writers that left, were released, or never joined. Without it, a duplicate
// of a batch that is appended after its writer has left would be applied again. Order lists the writers, oldest first.
type NonMembers struct {
	LastSeq map[string]uint64 `json:"last_seq"`
	Order   []string          `json:"order,omitempty"`
}

func (n *NonMembers) set(writer string, seq uint64) {
	if _, ok := n.LastSeq[writer]; !ok {
		if len(n.Order) >= maxNonMembers {
			delete(n.LastSeq, n.Order[0])
			n.Order = n.Order[1:]
		}
		n.Order = append(n.Order, writer)
	}
	n.LastSeq[writer] = seq
}

// LastSeq returns the sequence number of the writer's last applied batch, or 0 if there is none.
func (s *State) LastSeq(writer string) uint64 {
	if m, ok := s.Members[writer]; ok {
		return m.LastSeq
	}
	return s.NonMembers.LastSeq[writer]
}

// advanceSeq records a batch's sequence number. It returns false for a batch that was applied before. Batches without a writer
// are not numbered.
func (s *State) advanceSeq(writer string, seq uint64) bool {
	if writer == "" {
		return true
	}
	if seq <= s.LastSeq(writer) {
		return false
	}
	if m, ok := s.Members[writer]; ok {
		m.LastSeq = seq
		s.Members[writer] = m
		return true
	}
	s.NonMembers.set(writer, seq)
	return true
}
