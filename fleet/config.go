package fleet

import "maps"

// Config is a configuration of the fleet. A Config that was published through
// State.Config is immutable: a change replaces it as a whole.
type Config struct {
	// Version increases by one with every accepted change.
	Version     uint64                   `json:"version"`
	InForce     string                   `json:"in_force"` // name of the preset in force
	Presets     map[string]Preset        `json:"presets,omitempty"`
	Keys        map[string]Key           `json:"keys,omitempty"` // by key id
	Teams       map[string]Team          `json:"teams,omitempty"`
	Queues      map[string]Queue         `json:"queues,omitempty"`
	Pools       map[string]Pool          `json:"pools,omitempty"`
	Services    map[string]Service       `json:"services,omitempty"`
	DataCentres map[string]DataCentre    `json:"data_centres,omitempty"`
	Racks       map[string]Rack          `json:"racks,omitempty"`
	Servers     map[string]BackendServer `json:"backend_servers,omitempty"` // by VM name
	EntryVMs    map[string]EntryVM       `json:"entry_vms,omitempty"`
	Policy      Policy                   `json:"policy"`
}

// Preset is an operating mode of the fleet. Operators declare a few of them and put one in force.
type Preset struct {
	Description string `json:"description,omitempty"`
	// PoolSizes is the wanted number of VMs per pool. A pool that is not listed keeps the number of VMs declared for it.
	PoolSizes map[string]int `json:"pool_sizes,omitempty"`
	// Maintenance allows VMs to be drained for maintenance.
	Maintenance bool `json:"maintenance"`
	// MaxDrains limits the number of VMs that are drained at the same time in the whole fleet.
	MaxDrains int `json:"max_drains,omitempty"`
	// ReservePercent is the percentage of each pool's slots that is kept free of overnight work, 0 to 100.
	ReservePercent int `json:"reserve_percent,omitempty"`
}

// Key is a team's API key. Only its SHA-256 is stored.
type Key struct {
	Team      string `json:"team"`
	Hash      string `json:"hash"` // SHA-256 of the key, in hexadecimal
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Team is a customer of the fleet, with a share and an upper limit.
type Team struct {
	// Share is the team's weight when capacity is short, 0 or more.
	Share int `json:"share"`
	// Limit is the largest number of tasks the team may run in the whole fleet.
	Limit int `json:"limit"`
	// FirmPerEntryVM is the part of Limit that each declared entry VM holds without a lease that can expire, so
	// that a data centre that is cut off for longer than a lease keeps serving the team.
	FirmPerEntryVM int `json:"firm_per_entry_vm,omitempty"`
}

// Class is the priority class of a queue: urgent work, or work that may wait overnight.
type Class string

// The two classes of work.
const (
	Urgent    Class = "urgent"
	Overnight Class = "overnight"
)

// Queue is a named queue to which clients submit requests.
type Queue struct {
	Pool  string `json:"pool"`
	Class Class  `json:"class"`
	// Open allows requests without a key. They are accounted to Team.
	Open bool   `json:"open,omitempty"`
	Team string `json:"team,omitempty"` // for open queues only
	// RunMillis is the declared run time of a task, in milliseconds. The actual run time may differ widely.
	RunMillis int `json:"run_millis,omitempty"`
}

// Pool is a set of backend server VMs that serve the same queues. Its VMs count in the budget of Service, if set.
type Pool struct {
	Service string `json:"service,omitempty"`
	// Min is the minimum number of VMs that must stay available.
	Min int `json:"min"`
	// MaxUnavailable limits the number of VMs that are unavailable at the same time, planned or not.
	MaxUnavailable int `json:"max_unavailable"`
	// Spare marks the pool from which bursts of load are served.
	Spare bool `json:"spare,omitempty"`
}

// Service is a group of pools with a common availability budget.
type Service struct {
	MaxUnavailable int `json:"max_unavailable"`
}

// DataCentre is a failure domain with its own entry VMs and backend servers.
type DataCentre struct {
	Region         string `json:"region,omitempty"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// Rack is a failure domain within a data centre.
type Rack struct {
	DataCentre     string `json:"data_centre"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// BackendServer is the declaration of a VM that runs tasks.
type BackendServer struct {
	Address      string `json:"address"` // IP number and port
	DataCentre   string `json:"data_centre"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`        // initial pool; State.VMs has the current one
	Slots        int    `json:"slots"`       // number of tasks that run at the same time
	Connections  int    `json:"connections"` // number of connections from all entry VMs together
	Accelerators int    `json:"accelerators,omitempty"`
}

// EntryVM is the declaration of an entry VM.
type EntryVM struct {
	DataCentre string `json:"data_centre"`
}

// StalePolicy says whether requests with a key are served while the view of the log is not fresh.
type StalePolicy string

// The stale policies: refuse requests with a key, or serve them.
const (
	RefuseWhenStale StalePolicy = "refuse"
	ServeWhenStale  StalePolicy = "serve"
)

// Policy holds the fleet-wide settings.
type Policy struct {
	// KeyFreshnessMillis is the maximum age, in milliseconds, of a view on which keys are accepted.
	KeyFreshnessMillis int         `json:"key_freshness_millis"`
	OnStaleView        StalePolicy `json:"on_stale_view"`
}

// DefaultKeyFreshnessMillis is the default of Policy.KeyFreshnessMillis.
const DefaultKeyFreshnessMillis = 10_000

// NewConfig returns an empty configuration with the default policy.
func NewConfig() *Config {
	return &Config{
		Presets:     map[string]Preset{},
		Keys:        map[string]Key{},
		Teams:       map[string]Team{},
		Queues:      map[string]Queue{},
		Pools:       map[string]Pool{},
		Services:    map[string]Service{},
		DataCentres: map[string]DataCentre{},
		Racks:       map[string]Rack{},
		Servers:     map[string]BackendServer{},
		EntryVMs:    map[string]EntryVM{},
		Policy:      Policy{KeyFreshnessMillis: DefaultKeyFreshnessMillis, OnStaleView: RefuseWhenStale},
	}
}

// Clone returns a copy whose maps can be modified without affecting c.
func (c *Config) Clone() *Config {
	next := *c
	next.Presets = cloneMap(c.Presets)
	next.Keys = cloneMap(c.Keys)
	next.Teams = cloneMap(c.Teams)
	next.Queues = cloneMap(c.Queues)
	next.Pools = cloneMap(c.Pools)
	next.Services = cloneMap(c.Services)
	next.DataCentres = cloneMap(c.DataCentres)
	next.Racks = cloneMap(c.Racks)
	next.Servers = cloneMap(c.Servers)
	next.EntryVMs = cloneMap(c.EntryVMs)
	return &next
}

// Preset returns the preset in force, or the zero Preset before the first one.
func (c *Config) Preset() Preset { return c.Presets[c.InForce] }

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
