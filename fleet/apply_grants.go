package fleet

// The invariant of grants: for each team, the sum of all grants never rises while it is at or above the team's limit.
// A lowered limit leaves the sum above it until holders have given back the excess; until then nobody gets more.

// ask sets the writer's wants and grants what is free, firm parts first.
func (s *State) ask(writer string, c *AskGrants) Result {
	s.renew(writer)
	for _, w := range c.Wants {
		if _, ok := s.Config.Teams[w.Team]; !ok {
			continue
		}
		g := s.GrantOf(w.Team, writer)
		g.Want = max(0, w.Count)
		if missing := g.Want - g.Total(); missing > 0 {
			g.Leased += min(missing, s.free(w.Team))
		}
		s.setGrant(w.Team, writer, g)
	}
	return Result{}
}

// giveBack lowers the writer's grants. The leased part goes first. The firm part stays.
func (s *State) giveBack(writer string, c *GiveBack) Result {
	for _, k := range c.Keep {
		g := s.GrantOf(k.Team, writer)
		g.Want = min(g.Want, max(0, k.Count))
		excess := g.Total() - max(0, k.Count)
		if excess > 0 {
			g.Leased -= min(g.Leased, excess)
		}
		if s.Granted(k.Team) > s.Config.Teams[k.Team].Limit {
			g.Firm = min(g.Firm, max(0, k.Count))
		}
		s.setGrant(k.Team, writer, g)
	}
	return Result{}
}

// free returns how much of a team's limit may still be granted as a leased part: what is neither granted nor set aside for the
// firm parts of entry VMs that have not joined.
func (s *State) free(team string) int {
	t := s.Config.Teams[team]
	firm := 0
	for _, g := range s.Grants[team] {
		firm += g.Firm
	}
	unjoined := max(0, t.FirmPerEntryVM*len(s.Config.EntryVMs)-firm)
	return max(0, t.Limit-s.Granted(team)-unjoined)
}

// grantFirm gives a member the firm parts of all teams as far as the limits allow. Only declared entry VMs get one.
func (s *State) grantFirm(incarnation string) {
	m := s.Members[incarnation]
	if _, declared := s.Config.EntryVMs[m.VM]; !declared {
		return
	}
	for _, name := range sortedKeys(s.Config.Teams) {
		t := s.Config.Teams[name]
		g := s.GrantOf(name, incarnation)
		missing := t.FirmPerEntryVM - g.Firm
		room := t.Limit - s.Granted(name)
		if add := min(missing, room); add > 0 {
			g.Firm += add
			s.setGrant(name, incarnation, g)
		}
	}
}

// grantFirmToAll gives all members their firm parts after a change of the configuration, which may have declared teams, entry VMs or
// larger firm parts. Waiting for the next renewal would leave a team without a grant if the log goes down before.
func (s *State) grantFirmToAll() {
	for _, incarnation := range sortedKeys(s.Members) {
		if !s.Members[incarnation].Fenced {
			s.grantFirm(incarnation)
		}
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
