package operatorapi

import (
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Guard is part of every change of the configuration.
type Guard struct {
	// ID is chosen by the client and makes the change idempotent: a repeat with the same id, through any entry VM, returns
	// the first result.
	ID string `json:"id"`
	// Expect is the configuration version that the change was made for; 0 only on a fleet without configuration.
	// Withdrawals may leave it out.
	Expect *uint64 `json:"expect,omitempty"`
	// By is the operator's name, for the history.
	By string `json:"by,omitempty"`
}

// UsePreset puts the preset of the path in force.
type UsePreset struct {
	Guard
}

// AddKey adds a key for a team. The client generates the key and sends its hash only. So the key never crosses the network,
// an entry VM never holds it, and a call whose answer was lost can be repeated without a second key coming into being;
// a server that generates keys would have to keep the secret somewhere to answer the repeat.
type AddKey struct {
	Guard
	KeyID string `json:"key_id"`
	Team  string `json:"team"`
	Hash  string `json:"hash"` // SHA-256 of the key, in hexadecimal
}

// WithdrawKey withdraws the key of the path.
type WithdrawKey struct {
	Guard
}

// SetTeam replaces the settings of the team of the path.
type SetTeam struct {
	Guard
	Team fleet.Team `json:"team"`
}

// Apply changes the configuration by a list of changes, all or none.
type Apply struct {
	Guard
	Changes []fleet.Change `json:"changes"`
}

// StartMove moves a VM to another pool. Epoch and Layout are those of VMList; they guard the move as the version guards a
// change of the configuration, and make a repeat of the call recognisable.
type StartMove struct {
	VM     string `json:"vm"`
	To     string `json:"to"`
	Epoch  uint64 `json:"epoch"`
	Layout uint64 `json:"layout"`
}

// AbandonMove takes the VM of the path back into the pool it was moving out of.
type AbandonMove struct {
	Epoch uint64 `json:"epoch"`
	Pool  string `json:"pool"` // pool that the VM is moving out of
}

// PlanWave creates a maintenance wave over pools, or over all pools if the list is empty.
type PlanWave struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools,omitempty"`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Version uint64 `json:"version"` // configuration version that is in force
}

// Failure is the body of every answer that is not a success.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Version uint64       `json:"version,omitempty"` // for a conflict, the version that won
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

// TeamInfo is a team with its name and what the entry VMs hold of its limit.
type TeamInfo struct {
	Name    string     `json:"name"`
	Team    fleet.Team `json:"team"`
	Granted int        `json:"granted"`
}

// PoolInfo is a pool with the state of its VMs.
type PoolInfo struct {
	Name      string     `json:"name"`
	Pool      fleet.Pool `json:"pool"`
	Wanted    *int       `json:"wanted,omitempty"` // size in the preset in force, if it names the pool
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

// VMList has all VMs with the layout epoch that a move needs.
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

// PeerStatus is what the answering VM knows of a peer.
type PeerStatus struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Offset      uint64 `json:"offset"`
	LogReadable bool   `json:"log_readable"`
	// HeardMillis is how long ago the peer last answered, in milliseconds.
	HeardMillis int64 `json:"heard_millis"`
}

// NodeStatus is the status of the entry VM that answers.
type NodeStatus struct {
	VM          string       `json:"vm"`
	DataCentre  string       `json:"data_centre"`
	Incarnation string       `json:"incarnation"`
	Ready       bool         `json:"ready"`
	LogReadable bool         `json:"log_readable"`
	ViewFresh   bool         `json:"view_fresh"` // whether keys are accepted
	Peers       []PeerStatus `json:"peers"`
}

// ClusterStatus is the status as the answering VM sees it.
type ClusterStatus struct {
	Node    NodeStatus              `json:"node"`
	Offset  uint64                  `json:"offset"`
	Version uint64                  `json:"version"`
	InForce string                  `json:"in_force"`
	Members map[string]fleet.Member `json:"members"` // by incarnation
	Waves   []WaveInfo              `json:"waves"`
}
