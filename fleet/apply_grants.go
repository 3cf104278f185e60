package fleet

import "slices"

// Invariant of grants: for each team, the sum of all grants never rises while it is at or above the team's limit.
// When a limit is lowered, the sum stays above it until the holders have returned the excess; until then no member gets more.

// requestGrants records how many tasks the writer wants and grants what is free.
func (s *State) requestGrants(writer string, c *RequestGrants) Result {
	s.renew(writer)
	for _, w := range c.Wants {
		if _, ok := s.Config.Teams[w.Team]; !ok {
			continue
		}
		g := s.GrantOf(w.Team, writer)
		g.Want = max(0, w.Count)
		s.setGrant(w.Team, writer, g)
		s.distribute(w.Team)
	}
	return Result{}
}

// returnGrants lowers the writer's grants, the leased part first. The declared firm part is kept unless the limit is
// exceeded.
func (s *State) returnGrants(writer string, c *ReturnGrants) Result {
	for _, k := range c.Keep {
		keep := max(0, k.Count)
		g := s.GrantOf(k.Team, writer)
		g.Want = min(g.Want, keep)
		g.Leased -= min(g.Leased, max(0, g.Total()-keep))
		declared := s.Config.Teams[k.Team].FirmPerEntryVM
		if s.Granted(k.Team) > s.Config.Teams[k.Team].Limit {
			declared = 0
		}
		g.Firm = min(g.Firm, max(keep, declared))
		s.setGrant(k.Team, writer, g)
		s.distribute(k.Team)
	}
	return Result{}
}

// distribute divides what is free of a team's limit among the members that want more than they have, by max-min fairness: those
// with the least get the most. A want stays until its holder changes it or its lease expires, so nobody has to repeat a request
// when others return grants.
func (s *State) distribute(team string) {
	free := s.free(team)
	if free == 0 {
		return
	}
	var ids []string
	var have, want []int
	for _, id := range sortedKeys(s.Grants[team]) {
		g := s.GrantOf(team, id)
		if g.Want <= g.Total() || s.Members[id].Fenced {
			continue
		}
		ids = append(ids, id)
		have = append(have, g.Total())
		want = append(want, g.Want)
	}
	for i, n := range maxMinFair(free, have, want) {
		g := s.GrantOf(team, ids[i])
		g.Leased += n
		s.setGrant(team, ids[i], g)
	}
}

func (s *State) distributeAll() {
	for team := range s.Config.Teams {
		s.distribute(team)
	}
}

// maxMinFair returns how much each holder is given on top of what it has, at most up to what it wants. It divides free by max-min
// fairness: the holders with the least are raised to a common level, the highest that free covers. The remainder goes, one each,
// to the first holders on that level that want more.
func maxMinFair(free int, have, want []int) []int {
	cost := func(level int) int {
		sum := 0
		for i := range have {
			sum += max(0, min(want[i], level)-have[i])
		}
		return sum
	}
	low, high := 0, 0
	if len(want) > 0 {
		high = slices.Max(want)
	}
	for low < high {
		middle := (low + high + 1) / 2
		if cost(middle) <= free {
			low = middle
		} else {
			high = middle - 1
		}
	}
	remainder := free - cost(low)
	raised := make([]int, len(have))
	for i := range have {
		raised[i] = max(0, min(want[i], low)-have[i])
		if remainder > 0 && want[i] > low && have[i] <= low {
			raised[i]++
			remainder--
		}
	}
	return raised
}

// Demand is what the other members want of a team's limit.
type Demand struct {
	// Contested is true if another live member wants more than it has, or if the firm parts that others still lack exceed what is
	// free of the limit.
	Contested bool
	wants     []int
	// selfIndex is the index of the member itself in the order of incarnations, in which a remainder is given out.
	selfIndex int
	capacity  int // total that the live members may hold
}

// DemandOfOthers returns the demand of a team's live members other than self.
func (s *State) DemandOfOthers(team, self string) Demand {
	// The part of its firm grant that self still lacks becomes firm at its next renewal, so it is not subtracted from the capacity.
	limit, missing := s.Config.Teams[team].Limit, s.Config.Teams[team].FirmPerEntryVM-s.GrantOf(team, self).Firm
	reserved := max(0, s.unassignedFirm(team)-max(0, missing))
	d := Demand{capacity: limit - reserved, Contested: s.Granted(team)+reserved > limit}
	for _, id := range sortedKeys(s.Grants[team]) {
		g := s.GrantOf(team, id)
		switch {
		case id == self:
			d.selfIndex = len(d.wants)
		case s.Members[id].Fenced:
			d.capacity -= g.Total()
		default:
			d.Contested = d.Contested || g.Want > g.Total()
			d.wants = append(d.wants, max(g.Want, g.Firm))
		}
	}
	return d
}

// FairShare returns what a member that needs the given number gets if all that live members may hold is divided by max-min fairness.
func (d Demand) FairShare(need int) int {
	wants := slices.Insert(slices.Clone(d.wants), d.selfIndex, need)
	return maxMinFair(max(0, d.capacity), make([]int, len(wants)), wants)[d.selfIndex]
}

// free returns how much of a team's limit may still be granted as leased parts: what is neither granted nor reserved for firm
// parts that are not yet assigned.
func (s *State) free(team string) int {
	return max(0, s.Config.Teams[team].Limit-s.Granted(team)-s.unassignedFirm(team))
}

// unassignedFirm returns how much of the firm parts of all declared entry VMs is not granted, for example because an entry VM has not
// joined.
func (s *State) unassignedFirm(team string) int {
	firm := 0
	for _, g := range s.Grants[team] {
		firm += g.Firm
	}
	return max(0, s.Config.Teams[team].FirmPerEntryVM*len(s.Config.EntryVMs)-firm)
}

// grantFirm gives a member the firm parts of all teams: first by converting its own leased parts, then as far as the limits allow.
// Only members on declared entry VMs get them.
func (s *State) grantFirm(incarnation string) {
	m := s.Members[incarnation]
	if _, declared := s.Config.EntryVMs[m.VM]; !declared {
		return
	}
	for _, name := range sortedKeys(s.Config.Teams) {
		t := s.Config.Teams[name]
		g := s.GrantOf(name, incarnation)
		missing := max(0, t.FirmPerEntryVM-g.Firm)
		converted := min(missing, g.Leased)
		g.Leased -= converted
		g.Firm += converted
		free := max(0, t.Limit-s.Granted(name))
		g.Firm += min(missing-converted, free)
		s.setGrant(name, incarnation, g)
		s.distribute(name)
	}
}

func (s *State) setGrant(team, incarnation string, g Grant) {
	holders := s.Grants[team]
	if g == (Grant{}) {
		delete(holders, incarnation)
		if len(holders) == 0 {
			delete(s.Grants, team)
		}
		return
	}
	if holders == nil {
		holders = map[string]Grant{}
		s.Grants[team] = holders
	}
	holders[incarnation] = g
}

// grantFirmToAll gives all members their firm parts after a configuration change, which may have declared teams, entry VMs or
// larger firm parts. If it waited for the next renewal, a log outage before that would leave a team without a grant.
func (s *State) grantFirmToAll() {
	for _, incarnation := range s.LiveMembers() {
		s.grantFirm(incarnation)
	}
}
