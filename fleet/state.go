package fleet

import (
	"cmp"
	"maps"
	"slices"

	"example.org/comfreyrouter/errkind"
)

// Phase is the state of a VM in its pool.
type Phase string

// The phases of a VM. Only a serving VM gets new work.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	Moving    Phase = "moving"
)

// VM is the replicated state of a backend server VM.
type VM struct {
	Pool  string `json:"pool"`
	Phase Phase  `json:"phase"`
	// Epoch is the phase epoch, which increases with every change of pool or phase.
	Epoch  uint64 `json:"epoch"`
	MoveTo string `json:"move_to,omitempty"` // target pool while Moving
	Down   bool   `json:"down,omitempty"`    // reported down, planned or not
	Wave   string `json:"wave,omitempty"`    // wave of the drain in progress
}

// Available reports whether the VM counts as available in its pool.
func (v VM) Available() bool { return v.Phase == Serving && !v.Down }

// Member is an incarnation of an entry VM.
type Member struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Fence is the member's fencing token: the offset of its join. Backend servers refuse a lower one from the same VM.
	Fence uint64 `json:"fence"`
	// LeaseSeq is the sequence number of the lease, which increases with every renewal and expiry.
	LeaseSeq uint64 `json:"lease_seq"`
	// LastSeq is the sequence number of the member's last applied batch.
	LastSeq uint64 `json:"last_seq"`
	// Fenced is set once the member is permanently excluded. A later Release frees its grants.
	Fenced bool `json:"fenced,omitempty"`
}

// Grant is the number of tasks of one team that one incarnation may run.
type Grant struct {
	Firm   int `json:"firm,omitempty"`   // does not expire
	Leased int `json:"leased,omitempty"` // expires with the member's lease
	Want   int `json:"want,omitempty"`   // number last requested by the holder
}

// Total returns the sum of the firm and the leased part.
func (g Grant) Total() int { return g.Firm + g.Leased }

// Claim is the record of a request id that may run at most once.
type Claim struct {
	// Claimant is the only incarnation that may run the request; empty for an id that was closed without a run.
	Claimant string `json:"claimant,omitempty"`
	// Outcome is empty until it is known.
	Outcome errkind.Outcome `json:"outcome,omitempty"`
}

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave.
const (
	WavePlanned WaveState = "planned"
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveDone    WaveState = "done"
)

// Wave is a maintenance wave: every VM of its pools is drained and rebooted once.
type Wave struct {
	Pools      []string        `json:"pools,omitempty"` // empty for all pools
	State      WaveState       `json:"state"`
	Maintained map[string]bool `json:"maintained,omitempty"` // VMs whose maintenance is complete, by name
}

// State is the result of the fold. It is not safe for concurrent use; Store guards it.
type State struct {
	// Offset is the offset of the last batch applied. It never decreases.
	Offset uint64  `json:"offset"`
	Config *Config `json:"config"`
	// VMs holds the pool and phase of each declared backend server, by name.
	VMs map[string]VM `json:"vms"`
	// Layout is the layout epoch. It increases at the start and at the end of every move, so that of several plans for one layout only
	// the first is accepted.
	Layout  uint64            `json:"layout"`
	Members map[string]Member `json:"members"` // by incarnation
	// LastIncarnation holds the highest incarnation seen of each entry VM, so that a delayed join of an ended incarnation is rejected.
	LastIncarnation map[string]string `json:"last_incarnation"`
	// NonMembers holds the last batch sequence numbers of writers that are not members.
	NonMembers NonMembers `json:"ended"`
	// Grants is keyed by team, then by incarnation.
	Grants map[string]map[string]Grant `json:"grants"`
	Waves  map[string]Wave             `json:"waves"`
	Claims Claims                      `json:"claims"`
	// Issuers holds the outcomes of the request ids of each issuer that left after a graceful shutdown.
	Issuers Issuers `json:"issuers"`
	// ConfigureResults holds the results of the last Configure commands, by id.
	ConfigureResults ConfigureResults `json:"configured"`
	// SnapshotOffset is the UpTo of the last complete snapshot in the log.
	SnapshotOffset uint64 `json:"snapshot_offset"`
	// SnapshotParts holds, for each incomplete snapshot, the indexes of the parts seen so far.
	SnapshotParts map[string]map[int]bool `json:"snapshot_parts,omitempty"`
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Config:           NewConfig(),
		VMs:              map[string]VM{},
		Members:          map[string]Member{},
		LastIncarnation:  map[string]string{},
		Grants:           map[string]map[string]Grant{},
		Waves:            map[string]Wave{},
		Claims:           Claims{ByID: map[string]Claim{}},
		Issuers:          Issuers{ByID: map[string]map[string]errkind.Outcome{}},
		ConfigureResults: ConfigureResults{ByID: map[string]Result{}},
		NonMembers:       NonMembers{LastSeq: map[string]uint64{}},
	}
}

// LiveMembers returns the incarnations of the members that are not fenced, sorted.
func (s *State) LiveMembers() []string {
	var live []string
	for id, m := range s.Members {
		if !m.Fenced {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// GrantOf returns the grant that an incarnation holds for a team.
func (s *State) GrantOf(team, incarnation string) Grant { return s.Grants[team][incarnation] }

// Granted returns the sum of all grants for a team.
func (s *State) Granted(team string) int {
	sum := 0
	for _, g := range s.Grants[team] {
		sum += g.Total()
	}
	return sum
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func compare(a, b string) int { return cmp.Compare(a, b) }
