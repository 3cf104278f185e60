package jobnode

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/strictyaml"
	"example.org/comfreyrouter/operatorapi"
)

// Settings are the settings of a node that accepts jobs. deploy/settings.yaml.tmpl renders them on the users' platform.
type Settings struct {
	Name            string         `yaml:"name"`
	DataCentre      string         `yaml:"data_centre"`
	CallerAddress   netip.AddrPort `yaml:"caller_address"`   // where the node listens for callers
	ReadyAddress    netip.AddrPort `yaml:"ready_address"`    // serves readiness and metrics
	PeerAddress     netip.AddrPort `yaml:"peer_address"`     // where the node listens for other nodes; optional, without it the node relays no orders
	OperatorAddress netip.AddrPort `yaml:"operator_address"` // where the node answers operators' queries; optional
	// OperatorTokenSHA256 is the SHA-256 of the operators' token in hexadecimal. If it is empty, queries need no token.
	OperatorTokenSHA256 string         `yaml:"operator_token_sha256"`
	StoreAddress        netip.AddrPort `yaml:"store_address"`    // the platform's store
	MachinesAddress     netip.AddrPort `yaml:"machines_address"` // the platform's machine list; optional
	PolicyAddress       netip.AddrPort `yaml:"policy_address"`   // the service of the queues' policies; optional
	MachineOrderRate    float64        `yaml:"machine_orders"`   // machine orders per second that the platform accepts
	Cores               float64        `yaml:"cores"`            // processors that this node may use; a stronger node claims the dispatcher role sooner
	MemoryMB            int            `yaml:"memory_mb"`        // memory that this node may use; optional
	Descriptors         int            `yaml:"descriptors"`      // descriptors that this process may open; the limit of the operating system if it is lower or this is 0
	LogLevel            string         `yaml:"log_level"`        // debug, info, warn or error
	DirectServers       int            `yaml:"direct_servers"`   // up to this many backend servers, the dispatcher calls all of them directly
	DirectNodes         int            `yaml:"direct_nodes"`     // up to this many nodes, each appends the records of its calls itself
	// Interference says what is done about tasks that slow each other down: off, observe or avoid.
	Interference string `yaml:"interference"`
	Bounds       Bounds `yaml:"bounds"`
}

// Bounds are the durations that the fleet's operators and the platform have agreed on.
type Bounds struct {
	RevokeWithin      time.Duration `yaml:"revoke_within"` // a withdrawn key stops working within this time
	MaxLease          time.Duration `yaml:"lease_most"`    // longest lease of a run that a backend server grants
	Grace             time.Duration `yaml:"grace"`         // between the request to stop and the kill
	EarlyStart        time.Duration `yaml:"early"`         // by how much an occurrence may start before its time
	HandoverInterval  time.Duration `yaml:"order_turn"`    // minimum time between orders of two dispatchers for one machine
	UpkeepDuration    time.Duration `yaml:"upkeep"`        // duration of a machine's upkeep
	FinishedRetention time.Duration `yaml:"keep_finished"` // how long the end of a job is kept
	Evacuate          time.Duration `yaml:"evacuate"`      // from then on nothing starts in an evacuated data centre; optional
}

// DefaultSettings returns the defaults of the optional settings, with the usual bounds of the platform.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", Cores: 1, MachineOrderRate: 64, DirectServers: 100, DirectNodes: 30, Interference: "off", Bounds: Bounds{
		RevokeWithin: 5 * time.Second, MaxLease: 6 * time.Second, Grace: 6 * time.Second, EarlyStart: 250 * time.Millisecond,
		HandoverInterval: 3 * time.Second, UpkeepDuration: 2 * time.Second, FinishedRetention: 5 * time.Minute,
	}}
}

// interferenceModes holds the modes by their names in the settings.
var interferenceModes = map[string]dispatch.InterferenceMode{
	"off": dispatch.InterferenceIgnored, "observe": dispatch.InterferenceObserved, "avoid": dispatch.InterferenceAvoided,
}

// LoadSettings reads a settings file. The error of an invalid file names each fault with file, line and column.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	s := DefaultSettings()
	positions, problems := strictyaml.Decode(path, data, &s)
	if positions == nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, problems.Err())
	}
	add := func(field, message string) {
		problems = append(problems, strictyaml.Problem{Position: positions.At(field), Message: field + " " + message})
	}
	for _, field := range []string{"name", "data_centre", "caller_address", "ready_address", "store_address"} {
		if !positions.Has(field) {
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
	if s.Bounds.Evacuate < 0 {
		add("bounds.evacuate", "must not be below 0")
	}
	for field, n := range map[string]int{"direct_servers": s.DirectServers, "direct_nodes": s.DirectNodes, "memory_mb": s.MemoryMB, "descriptors": s.Descriptors} {
		if n < 0 {
			add(field, "must not be below 0")
		}
	}
	if _, known := interferenceModes[s.Interference]; !known {
		add("interference", "must be off, observe or avoid")
	}
	if !operatorapi.ValidTokenHash(s.OperatorTokenSHA256) {
		add("operator_token_sha256", "must be a SHA-256 in hexadecimal")
	}
	if s.MachineOrderRate <= 0 {
		add("machine_orders", "must be above 0")
	}
	if err := problems.Err(); err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	return s, nil
}
