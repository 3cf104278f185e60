package jobnode

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/strictyaml"
)

// Settings are the settings of a node that takes jobs. deploy/settings.yaml.tmpl renders them on the users' platform.
type Settings struct {
	Name             string         `yaml:"name"`
	DataCentre       string         `yaml:"data_centre"`
	CallerAddress    netip.AddrPort `yaml:"caller_address"`   // listens for members
	ReadyAddress     netip.AddrPort `yaml:"ready_address"`    // answers whether the node takes new calls, and serves its metrics
	PeerAddress      netip.AddrPort `yaml:"peer_address"`     // listens for other nodes; may be left out, and the node then carries no orders
	StoreAddress     netip.AddrPort `yaml:"store_address"`    // the platform's store
	MachinesAddress  netip.AddrPort `yaml:"machines_address"` // the platform's list of machines; may be left out
	PolicyAddress    netip.AddrPort `yaml:"policy_address"`   // the service that knows the queues' policies; may be left out
	MachineOrderRate float64        `yaml:"machine_orders"`   // orders for machines that the platform takes a second
	Cores            float64        `yaml:"cores"`            // processors that this node may use; a stronger node dispatches sooner
	LogLevel         string         `yaml:"log_level"`        // debug, info, warn or error
	DirectServers    int            `yaml:"direct_servers"`   // up to how many backend servers a dispatcher makes all calls itself
	DirectNodes      int            `yaml:"direct_nodes"`     // up to how many nodes store the records of their calls themselves
	Bounds           Bounds         `yaml:"bounds"`
}

// Bounds are the spans that the fleet's operators and platform have agreed on.
type Bounds struct {
	RevokeWithin      time.Duration `yaml:"revoke_within"` // a withdrawn key stops working within this
	MaxLease          time.Duration `yaml:"lease_most"`    // longest lease of a run that a backend server grants
	Grace             time.Duration `yaml:"grace"`         // between the request to stop and the kill
	EarlyStart        time.Duration `yaml:"early"`         // by how much an occurrence may start before its time
	HandoverInterval  time.Duration `yaml:"order_turn"`    // least time between orders of two holders for one machine
	UpkeepDuration    time.Duration `yaml:"upkeep"`        // duration of a machine's upkeep
	FinishedRetention time.Duration `yaml:"keep_finished"` // how long the end of a job is known
}

// DefaultSettings returns the settings that may be left out, with the usual bounds of the platform.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", Cores: 1, MachineOrderRate: 64, DirectServers: 100, DirectNodes: 30, Bounds: Bounds{
		RevokeWithin: 5 * time.Second, MaxLease: 6 * time.Second, Grace: 6 * time.Second, EarlyStart: 250 * time.Millisecond,
		HandoverInterval: 3 * time.Second, UpkeepDuration: 2 * time.Second, FinishedRetention: 5 * time.Minute,
	}}
}

// LoadSettings reads a settings file. The error of a faulty file names each fault with file, line and column.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	s := DefaultSettings()
	places, problems := strictyaml.Decode(path, data, &s)
	if places == nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, problems.Err())
	}
	add := func(field, message string) {
		problems = append(problems, strictyaml.Problem{Place: places.At(field), Message: field + " " + message})
	}
	for _, field := range []string{"name", "data_centre", "caller_address", "ready_address", "store_address"} {
		if !places.Has(field) {
			add(field, "is missing")
		}
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		add("log_level", "must be debug, info, warn or error")
	}
	for field, d := range map[string]time.Duration{
		"revoke_within": s.Bounds.RevokeWithin, "lease_most": s.Bounds.MaxLease, "grace": s.Bounds.Grace, "order_turn": s.Bounds.HandoverInterval,
		"keep_finished": s.Bounds.FinishedRetention,
	} {
		if d <= 0 {
			add("bounds."+field, "must be above 0")
		}
	}
	for field, n := range map[string]int{"direct_servers": s.DirectServers, "direct_nodes": s.DirectNodes} {
		if n < 0 {
			add(field, "must not be below 0")
		}
	}
	if s.MachineOrderRate <= 0 {
		add("machine_orders", "must be above 0")
	}
	if err := problems.Err(); err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	return s, nil
}
