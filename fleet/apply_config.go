package fleet

import (
	"strings"

	"example.org/comfreyrouter/errkind"
)

// maxConfigureResults is the number of results of Configure commands that are kept to answer repeats. At 1,000 changes a day it
// covers four days.
const maxConfigureResults = 4096

// ConfigureResults holds the results of the last Configure commands. Order lists their ids, oldest first.
type ConfigureResults struct {
	ByID  map[string]Result `json:"by_id"`
	Order []string          `json:"order,omitempty"`
}

func (c *ConfigureResults) add(id string, r Result) {
	if len(c.Order) >= maxConfigureResults {
		delete(c.ByID, c.Order[0])
		c.Order = c.Order[1:]
	}
	c.ByID[id] = r
	c.Order = append(c.Order, id)
}

// configure applies either all changes of c or none. Only accepted results are kept: a rejected command may be repeated with
// the same id and is checked again.
func (s *State) configure(c *Configure) Result {
	if c.ID == "" {
		return reject(errkind.BadRequest, "a change needs an id")
	}
	if r, ok := s.ConfigureResults.ByID[c.ID]; ok {
		return r
	}
	if c.Expect == 0 && !onlyWithdrawals(c.Changes) && s.Config.Version > 0 {
		return reject(errkind.BadRequest, "a change other than a withdrawal needs the version it was made for")
	}
	if c.Expect != 0 && c.Expect != s.Config.Version {
		r := reject(errkind.VersionConflict, "the change was made for version %d, but version %d is in force", c.Expect, s.Config.Version)
		r.Version = s.Config.Version
		return r
	}
	if s.alreadyWithdrawn(c.Changes) {
		r := Result{Version: s.Config.Version}
		s.ConfigureResults.add(c.ID, r)
		return r
	}
	next := s.Config.Clone()
	for _, change := range c.Changes {
		if r := change.apply(next); !r.OK() {
			return r
		}
	}
	if r := s.checkVMs(next); !r.OK() {
		return r
	}
	if problems := next.Validate(); len(problems) > 0 {
		return reject(errkind.InvalidConfig, "%s", joinProblems(problems))
	}
	next.Version++
	s.Config = next
	s.syncVMs()
	s.grantFirmToAll()
	s.distributeAll()
	r := Result{Version: next.Version}
	s.ConfigureResults.add(c.ID, r)
	return r
}

func onlyWithdrawals(changes []Change) bool {
	for _, c := range changes {
		if c.WithdrawKey == nil {
			return false
		}
	}
	return len(changes) > 0
}

// alreadyWithdrawn reports whether all changes withdraw keys that are already withdrawn. They change nothing, so the version stays:
// several VMs may send the same withdrawal, and none of them may cause a version conflict for an operator's next change.
func (s *State) alreadyWithdrawn(changes []Change) bool {
	for _, c := range changes {
		if c.WithdrawKey == nil || !s.Config.Keys[*c.WithdrawKey].Withdrawn {
			return false
		}
	}
	return len(changes) > 0
}

func joinProblems(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

func (c Change) apply(next *Config) Result {
	switch {
	case c.InForce != nil:
		if _, ok := next.Presets[*c.InForce]; !ok {
			return reject(errkind.NotFound, "preset %q does not exist", *c.InForce)
		}
		next.InForce = *c.InForce
	case c.AddKey != nil:
		return addKey(next, c.AddKey)
	case c.WithdrawKey != nil:
		return withdrawKey(next, *c.WithdrawKey)
	case c.Preset != nil:
		setObject(next.Presets, c.Preset)
	case c.Team != nil:
		setObject(next.Teams, c.Team)
	case c.Queue != nil:
		setObject(next.Queues, c.Queue)
	case c.Pool != nil:
		setObject(next.Pools, c.Pool)
	case c.Service != nil:
		setObject(next.Services, c.Service)
	case c.DataCentre != nil:
		setObject(next.DataCentres, c.DataCentre)
	case c.Rack != nil:
		setObject(next.Racks, c.Rack)
	case c.Server != nil:
		setObject(next.Servers, c.Server)
	case c.EntryVM != nil:
		setObject(next.EntryVMs, c.EntryVM)
	case c.Policy != nil:
		next.Policy = *c.Policy
	default:
		return reject(errkind.BadRequest, "the change is empty or of an unknown type")
	}
	return Result{}
}

func setObject[T any](m map[string]T, o *Object[T]) {
	if o.Value == nil {
		delete(m, o.Name)
		return
	}
	m[o.Name] = *o.Value
}

// addKey adds a key. A withdrawn key can't be added again, because its id stays in use.
func addKey(next *Config, o *Object[Key]) Result {
	if o.Value == nil {
		return reject(errkind.BadRequest, "key %q is withdrawn, not deleted", o.Name)
	}
	if _, ok := next.Keys[o.Name]; ok {
		return reject(errkind.InvalidConfig, "key %q exists already", o.Name)
	}
	next.Keys[o.Name] = Key{Team: o.Value.Team, Hash: o.Value.Hash}
	return Result{}
}

// withdrawKey marks a key as withdrawn. It is idempotent.
func withdrawKey(next *Config, id string) Result {
	k, ok := next.Keys[id]
	if !ok {
		return reject(errkind.NotFound, "key %q does not exist", id)
	}
	k.Withdrawn = true
	next.Keys[id] = k
	return Result{}
}

// checkVMs checks a configuration against the replicated state of the VMs. A known VM changes its pool only by a move, because it
// may be running tasks. A pool therefore can't be deleted while VMs are in it or move to it, whatever pool they were declared
// in. Each VM that is no longer declared counts as unavailable in the budgets of its pool, service, rack and data centre.
func (s *State) checkVMs(next *Config) Result {
	for _, name := range sortedKeys(s.VMs) {
		vm := s.VMs[name]
		if _, kept := next.Servers[name]; !kept {
			if !vm.Available() {
				continue
			}
			if r := s.checkBudgets(next, name); !r.OK() {
				return r
			}
			continue
		}
		for _, pool := range []string{vm.Pool, vm.MoveTo} {
			if _, ok := next.Pools[pool]; !ok && pool != "" {
				return reject(errkind.InvalidConfig, "pool %q does not exist, and VM %q is in it or moves to it", pool, name)
			}
		}
	}
	return Result{}
}

// syncVMs adds a VM in its declared pool for each newly declared backend server, and removes the VMs that are no longer declared.
func (s *State) syncVMs() {
	for name, server := range s.Config.Servers {
		if _, ok := s.VMs[name]; !ok {
			s.VMs[name] = VM{Pool: server.Pool, Phase: Serving, Epoch: s.Offset}
		}
	}
	for name := range s.VMs {
		if _, ok := s.Config.Servers[name]; !ok {
			delete(s.VMs, name)
		}
	}
}
