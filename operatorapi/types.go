package operatorapi

import (
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Guard makes a change of the configuration idempotent and conditional on a version. It is part of every such change.
type Guard struct {
	// ID is chosen by the client and makes the change idempotent: a repeat with the same id, through any entry VM, returns
	// the result of the first call.
	ID string `json:"id"`
	// Expect is the configuration version that the change was made for; 0 only on a fleet without configuration.
	// Withdrawals may leave it out.
	Expect *uint64 `json:"expect,omitempty"`
	// By is the operator's name, for the change history.
	By string `json:"by,omitempty"`
}

// UsePreset puts the preset named in the path in force.
type UsePreset struct {
	Guard
}

// AddKey adds a key for a team. The client generates the key and sends only its hash, so the key never crosses the network,
// an entry VM never holds it, and a call whose response was lost can be repeated without creating a second key.
// A server that generates keys would have to store the secret to answer the repeat.
type AddKey struct {
	Guard
	KeyID string `json:"key_id"`
	Team  string `json:"team"`
	Hash  string `json:"hash"` // SHA-256 of the key, in hexadecimal
}

// WithdrawKey withdraws the key named in the path.
type WithdrawKey struct {
	Guard
}

// SetTeam replaces the settings of the team named in the path.
type SetTeam struct {
	Guard
	Team fleet.Team `json:"team"`
}

// Apply applies a list of changes to the configuration, all or none.
type Apply struct {
	Guard
	Changes []fleet.Change `json:"changes"`
}

// StartMove moves a VM to another pool. Epoch and Layout are the phase epoch of the VM and the layout epoch from VMList. The move is
// conditional on them, as a change of the configuration is conditional on the version, and they make a repeat of the call recognisable.
type StartMove struct {
	VM     string `json:"vm"`
	To     string `json:"to"`
	Epoch  uint64 `json:"epoch"`
	Layout uint64 `json:"layout"`
}

// AbandonMove returns the VM named in the path to the pool that it was moving out of.
type AbandonMove struct {
	Epoch uint64 `json:"epoch"` // phase epoch of the VM, from VMList
	Pool  string `json:"pool"`  // pool that the VM is moving out of
}

// PlanWave creates a maintenance wave over the listed pools, or over all pools if the list is empty.
type PlanWave struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools,omitempty"`
}

// Accepted is the response body of an accepted change.
type Accepted struct {
	Version uint64 `json:"version"` // configuration version that is in force
}

// Failure is the body of every response that is not a success.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Version uint64       `json:"version,omitempty"` // for a conflict, the version in force
}

// Error returns the kind and the message.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Message }

// KeyInfo is a key without its hash.
type KeyInfo struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Withdrawn bool   `json:"withdrawn"`
}

// PresetInfo is a preset with its name.
type PresetInfo struct {
	Name    string       `json:"name"`
	InForce bool         `json:"in_force"`
	Preset  fleet.Preset `json:"preset"`
}

// TeamInfo is a team with its name and the part of its limit that is granted to entry VMs.
type TeamInfo struct {
	Name    string     `json:"name"`
	Team    fleet.Team `json:"team"`
	Granted int        `json:"granted"`
}

// PoolInfo is a pool with its name and the number of its VMs.
type PoolInfo struct {
	Name      string     `json:"name"`
	Pool      fleet.Pool `json:"pool"`
	Wanted    *int       `json:"wanted,omitempty"` // size in the preset in force, if the preset has the pool
	VMs       int        `json:"vms"`
	Available int        `json:"available"`
}

// VMInfo is a backend server VM with its declaration.
type VMInfo struct {
	Name       string   `json:"name"`
	VM         fleet.VM `json:"vm"`
	DataCentre string   `json:"data_centre"`
	Rack       string   `json:"rack"`
	Address    string   `json:"address"`
}

// VMList lists all VMs, with the layout epoch that a move needs.
type VMList struct {
	Layout uint64   `json:"layout"`
	VMs    []VMInfo `json:"vms"`
}

// WaveInfo is a maintenance wave with its progress.
type WaveInfo struct {
	Name       string          `json:"name"`
	State      fleet.WaveState `json:"state"`
	Pools      []string        `json:"pools,omitempty"`
	Maintained int             `json:"maintained"`
	InProgress int             `json:"in_progress"` // VMs being drained or rebooted for this wave
	Total      int             `json:"total"`       // VMs of the wave's pools
}

// PeerStatus is the status of a peer as known to the answering VM.
type PeerStatus struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Offset      uint64 `json:"offset"`
	LogReadable bool   `json:"log_readable"`
	// HeardMillis is the time since the heartbeat was sent that the peer last answered, in milliseconds.
	HeardMillis int64 `json:"heard_millis"`
}

// NodeStatus is the status of the entry VM that answers.
type NodeStatus struct {
	VM          string       `json:"vm"`
	DataCentre  string       `json:"data_centre"`
	Incarnation string       `json:"incarnation"`
	Ready       bool         `json:"ready"`
	LogReadable bool         `json:"log_readable"`
	ViewFresh   bool         `json:"view_fresh"` // whether the view of the log is fresh enough to accept keys
	Peers       []PeerStatus `json:"peers"`
}

// ClusterStatus is the status of the cluster as the answering VM sees it.
type ClusterStatus struct {
	Node    NodeStatus              `json:"node"`
	Offset  uint64                  `json:"offset"`
	Version uint64                  `json:"version"`
	InForce string                  `json:"in_force"`
	Members map[string]fleet.Member `json:"members"` // keyed by incarnation
	Waves   []WaveInfo              `json:"waves"`
}
