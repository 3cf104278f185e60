package fleet

import (
	"fmt"
	"net/netip"
	"slices"
)

// Problem is an error in a configuration, with the path of the invalid field,
// for example "teams.varmland.share".
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Validate returns all problems of c, sorted by path and message. It must be deterministic, because the fold rejects an
// invalid configuration with these problems as its message.
func (c *Config) Validate() []Problem {
	v := &validator{config: c}
	v.names()
	v.presets()
	v.teams()
	v.keys()
	v.queues()
	v.pools()
	v.failureDomains()
	v.servers()
	v.policy()
	slices.SortFunc(v.problems, func(a, b Problem) int {
		if a.Path != b.Path {
			return compare(a.Path, b.Path)
		}
		return compare(a.Message, b.Message)
	})
	return v.problems
}

type validator struct {
	config   *Config
	problems []Problem
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) nonNegative(path string, n int) {
	if n < 0 {
		v.add(path, "is %d, but must be 0 or more", n)
	}
}

// names rejects empty names: an empty InForce means that no preset is in force.
func (v *validator) names() {
	c := v.config
	checkNamed(v, "presets", c.Presets)
	checkNamed(v, "keys", c.Keys)
	checkNamed(v, "teams", c.Teams)
	checkNamed(v, "queues", c.Queues)
	checkNamed(v, "pools", c.Pools)
	checkNamed(v, "services", c.Services)
	checkNamed(v, "data_centres", c.DataCentres)
	checkNamed(v, "racks", c.Racks)
	checkNamed(v, "backend_servers", c.Servers)
	checkNamed(v, "entry_vms", c.EntryVMs)
}

// checkNamed adds a problem if objects has an entry with an empty name.
func checkNamed[T any](v *validator, path string, objects map[string]T) {
	if _, ok := objects[""]; ok {
		v.add(path, "has an object without a name")
	}
}

func (v *validator) presets() {
	c := v.config
	if c.InForce != "" {
		if _, ok := c.Presets[c.InForce]; !ok {
			v.add("in_force", "preset %q does not exist", c.InForce)
		}
	}
	for name, p := range c.Presets {
		path := "presets." + name
		v.nonNegative(path+".max_drains", p.MaxDrains)
		if p.ReservePercent < 0 || p.ReservePercent > 100 {
			v.add(path+".reserve_percent", "is %d, but must be 0 to 100", p.ReservePercent)
		}
		for pool, size := range p.PoolSizes {
			declared, ok := c.Pools[pool]
			if !ok {
				v.add(path+".pool_sizes."+pool, "pool does not exist")
				continue
			}
			if size < declared.Min {
				v.add(path+".pool_sizes."+pool, "is %d, which breaks the availability budget: the pool needs %d", size, declared.Min)
			}
		}
	}
}

func (v *validator) teams() {
	for name, t := range v.config.Teams {
		path := "teams." + name
		v.nonNegative(path+".share", t.Share)
		v.nonNegative(path+".limit", t.Limit)
		v.nonNegative(path+".firm_per_entry_vm", t.FirmPerEntryVM)
		if firm := t.FirmPerEntryVM * len(v.config.EntryVMs); firm > t.Limit {
			v.add(path+".firm_per_entry_vm", "adds up to %d over all entry VMs, above the limit of %d", firm, t.Limit)
		}
	}
}

func (v *validator) keys() {
	owner := map[string]string{}
	for _, id := range sortedKeys(v.config.Keys) {
		k := v.config.Keys[id]
		path := "keys." + id
		// A withdrawn key is kept when its team is deleted, so that the same key is never issued again.
		if _, ok := v.config.Teams[k.Team]; !ok && !k.Withdrawn {
			v.add(path+".team", "team %q does not exist", k.Team)
		}
		if len(k.Hash) != hashDigits {
			v.add(path+".hash", "is not a SHA-256 in hexadecimal")
		}
		if other, ok := owner[k.Hash]; ok {
			v.add(path+".hash", "is the same as that of key %q", other)
		}
		owner[k.Hash] = id
	}
}

// hashDigits is the length of a SHA-256 sum in hexadecimal digits.
const hashDigits = 64

func (v *validator) queues() {
	for name, q := range v.config.Queues {
		path := "queues." + name
		if _, ok := v.config.Pools[q.Pool]; !ok {
			v.add(path+".pool", "pool %q does not exist", q.Pool)
		}
		if q.Class != Urgent && q.Class != Overnight {
			v.add(path+".class", "is %q, but must be %q or %q", q.Class, Urgent, Overnight)
		}
		v.nonNegative(path+".run_millis", q.RunMillis)
		if !q.Open {
			continue
		}
		if _, ok := v.config.Teams[q.Team]; !ok {
			v.add(path+".team", "an open queue counts for a team, and team %q does not exist", q.Team)
		}
	}
}

func (v *validator) pools() {
	for name, p := range v.config.Pools {
		path := "pools." + name
		v.nonNegative(path+".min", p.Min)
		v.nonNegative(path+".max_unavailable", p.MaxUnavailable)
		if p.Service == "" {
			continue
		}
		if _, ok := v.config.Services[p.Service]; !ok {
			v.add(path+".service", "service %q does not exist", p.Service)
		}
	}
}

func (v *validator) failureDomains() {
	for name, s := range v.config.Services {
		v.nonNegative("services."+name+".max_unavailable", s.MaxUnavailable)
	}
	for name, d := range v.config.DataCentres {
		v.nonNegative("data_centres."+name+".max_unavailable", d.MaxUnavailable)
	}
	for name, r := range v.config.Racks {
		v.nonNegative("racks."+name+".max_unavailable", r.MaxUnavailable)
		v.requireDataCentre("racks."+name+".data_centre", r.DataCentre)
	}
	for name, e := range v.config.EntryVMs {
		v.requireDataCentre("entry_vms."+name+".data_centre", e.DataCentre)
	}
}

func (v *validator) requireDataCentre(path, name string) {
	if _, ok := v.config.DataCentres[name]; !ok {
		v.add(path, "data centre %q does not exist", name)
	}
}

func (v *validator) servers() {
	owner := map[string]string{}
	for _, name := range sortedKeys(v.config.Servers) {
		s := v.config.Servers[name]
		path := "backend_servers." + name
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			v.add(path+".address", "is %q, but must be an IP number and a port", s.Address)
		}
		if other, ok := owner[s.Address]; ok {
			v.add(path+".address", "is the same as that of %q", other)
		}
		owner[s.Address] = name
		v.requireDataCentre(path+".data_centre", s.DataCentre)
		if rack, ok := v.config.Racks[s.Rack]; !ok {
			v.add(path+".rack", "rack %q does not exist", s.Rack)
		} else if rack.DataCentre != s.DataCentre {
			v.add(path+".rack", "rack %q is in data centre %q", s.Rack, rack.DataCentre)
		}
		if _, ok := v.config.Pools[s.Pool]; !ok {
			v.add(path+".pool", "pool %q does not exist", s.Pool)
		}
		if s.Slots < 1 {
			v.add(path+".slots", "is %d, but must be 1 or more", s.Slots)
		}
		if s.Connections < 1 {
			v.add(path+".connections", "is %d, but must be 1 or more", s.Connections)
		}
		v.nonNegative(path+".accelerators", s.Accelerators)
	}
}

func (v *validator) policy() {
	p := v.config.Policy
	if p.KeyFreshnessMillis <= 0 {
		v.add("policy.key_freshness_millis", "is %d, but must be above 0", p.KeyFreshnessMillis)
	}
	if p.OnStaleView != RefuseWhenStale && p.OnStaleView != ServeWhenStale {
		v.add("policy.on_stale_view", "is %q, but must be %q or %q", p.OnStaleView, RefuseWhenStale, ServeWhenStale)
	}
}
