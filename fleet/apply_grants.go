package fleet

import "slices"

// The invariant of grants: for each team, the sum of all grants never rises while it is at or above the team's limit.
// A lowered limit leaves the sum above it until holders have given back the excess; until then nobody gets more.

// ask sets the writer's wants and grants what is free.
func (s *State) ask(writer string, c *RequestGrants) Result {
	s.renew(writer)
	for _, w := range c.Wants {
		if _, ok := s.Config.Teams[w.Team]; !ok {
			continue
		}
		g := s.GrantOf(w.Team, writer)
		g.Want = max(0, w.Count)
		s.setGrant(w.Team, writer, g)
		s.settle(w.Team)
	}
	return Result{}
}

// giveBack lowers the writer's grants. The leased part goes first. The declared firm part stays unless the limit is
// exceeded.
func (s *State) giveBack(writer string, c *ReturnGrants) Result {
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
		s.settle(k.Team)
	}
	return Result{}
}

// settle grants what is free of a team's limit to the members that want more than they have, so that those with the least get
// most. A want stands until its holder changes it or its lease expires: nobody has to ask again when others give back.
func (s *State) settle(team string) {
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
	for i, n := range raise(free, have, want) {
		g := s.GrantOf(team, ids[i])
		g.Leased += n
		s.setGrant(team, ids[i], g)
	}
}

func (s *State) settleAll() {
	for team := range s.Config.Teams {
		s.settle(team)
	}
}

// raise returns by how much each holder rises from what it has towards what it wants, so that free is used up and the lowest
// are raised to a common level. Of a remainder the first holders get one each.
func raise(free int, have, want []int) []int {
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
	rest := free - cost(low)
	raised := make([]int, len(have))
	for i := range have {
		raised[i] = max(0, min(want[i], low)-have[i])
		if rest > 0 && want[i] > low && have[i] <= low {
			raised[i]++
			rest--
		}
	}
	return raised
}

// Demand is what other members want of a team's limit.
type Demand struct {
	// Contested is set if another live member wants more than it has, or lacks its firm part.
	Contested bool
	wants     []int
	// before is the number of wants of members with a lower incarnation: of a remainder the first get one each.
	before int
	room   int // what live members may have together
}

// DemandOfOthers returns the demand of a team's live members other than self.
func (s *State) DemandOfOthers(team, self string) Demand {
	// What self lacks of its own firm part becomes firm at its next renewal and is not taken from it.
	limit, own := s.Config.Teams[team].Limit, s.Config.Teams[team].FirmPerEntryVM-s.GrantOf(team, self).Firm
	unjoined := max(0, s.unjoinedFirm(team)-max(0, own))
	d := Demand{room: limit - unjoined, Contested: s.Granted(team)+unjoined > limit}
	for _, id := range sortedKeys(s.Grants[team]) {
		g := s.GrantOf(team, id)
		switch {
		case id == self:
			d.before = len(d.wants)
		case s.Members[id].Fenced:
			d.room -= g.Total()
		default:
			d.Contested = d.Contested || g.Want > g.Total()
			d.wants = append(d.wants, max(g.Want, g.Firm))
		}
	}
	return d
}

// FairShare returns what a member that needs so much gets if all have the same level, or what they want if it is less.
func (d Demand) FairShare(need int) int {
	wants := slices.Insert(slices.Clone(d.wants), d.before, need)
	return raise(max(0, d.room), make([]int, len(wants)), wants)[d.before]
}

// free returns how much of a team's limit may still be granted as a leased part: what is neither granted nor set aside for the
// firm parts of entry VMs that have not joined.
func (s *State) free(team string) int {
	return max(0, s.Config.Teams[team].Limit-s.Granted(team)-s.unjoinedFirm(team))
}

func (s *State) unjoinedFirm(team string) int {
	firm := 0
	for _, g := range s.Grants[team] {
		firm += g.Firm
	}
	return max(0, s.Config.Teams[team].FirmPerEntryVM*len(s.Config.EntryVMs)-firm)
}

// grantFirm gives a member the firm parts of all teams, of its own leased parts first and then as far as the limits allow. Only
// declared entry VMs get one.
func (s *State) grantFirm(incarnation string) {
	m := s.Members[incarnation]
	if _, declared := s.Config.EntryVMs[m.VM]; !declared {
		return
	}
	for _, name := range sortedKeys(s.Config.Teams) {
		t := s.Config.Teams[name]
		g := s.GrantOf(name, incarnation)
		missing := max(0, t.FirmPerEntryVM-g.Firm)
		own := min(missing, g.Leased)
		g.Leased -= own
		g.Firm += own
		room := max(0, t.Limit-s.Granted(name))
		g.Firm += min(missing-own, room)
		s.setGrant(name, incarnation, g)
		s.settle(name)
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

// grantFirmToAll gives all members their firm parts after a change of the configuration, which may have declared teams, entry VMs or
// larger firm parts. Waiting for the next renewal would leave a team without a grant if the log goes down before.
func (s *State) grantFirmToAll() {
	for _, incarnation := range s.LiveMembers() {
		s.grantFirm(incarnation)
	}
}
