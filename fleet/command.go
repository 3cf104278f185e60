package fleet

import "example.org/comfreyrouter/errkind"

// Batch is one record of the log: the commands that one writer appended together.
type Batch struct {
	// Writer is the incarnation that appended the batch.
	Writer string `json:"writer"`
	// Seq numbers the writer's batches from 1. The fold ignores a batch whose Seq is not above the writer's last, so
	// an append whose answer was lost, or that was delayed in the network, has its effect once.
	Seq      uint64    `json:"seq"`
	Commands []Command `json:"commands"`
}

// Command is one change. Exactly one field is set.
type Command struct {
	Configure     *Configure     `json:"configure,omitempty"`
	Join          *Join          `json:"join,omitempty"`
	Renew         *Renew         `json:"renew,omitempty"`
	Leave         *Leave         `json:"leave,omitempty"`
	Fence         *Fence         `json:"fence,omitempty"`
	Expire        *Expire        `json:"expire,omitempty"`
	Release       *Release       `json:"release,omitempty"`
	RequestGrants *RequestGrants `json:"ask,omitempty"`
	ReturnGrants  *ReturnGrants  `json:"give_back,omitempty"`
	Claim         *MakeClaim     `json:"claim,omitempty"`
	Close         *CloseClaim    `json:"close,omitempty"`
	Finish        *FinishClaim   `json:"finish,omitempty"`
	Health        *ReportHealth  `json:"health,omitempty"`
	Drain         *StartDrain    `json:"drain,omitempty"`
	Phase         *AdvancePhase  `json:"phase,omitempty"`
	Move          *StartMove     `json:"move,omitempty"`
	Wave          *SetWave       `json:"wave,omitempty"`
	Snapshot      *SnapshotPart  `json:"snapshot,omitempty"`
}

// Result is what became of a command.
type Result struct {
	// Kind is empty for an accepted command.
	Kind    errkind.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	// Version is the configuration version after the command, or the version that won for a conflict.
	Version uint64 `json:"version,omitempty"`
	// Claim is the claim in force after a claim command, accepted or not.
	Claim *Claim `json:"claim,omitempty"`
}

// OK reports whether the command was accepted.
func (r Result) OK() bool { return r.Kind == "" }

// Err returns nil for an accepted command and otherwise an error of the result's kind.
func (r Result) Err() error {
	if r.OK() {
		return nil
	}
	return errkind.New(r.Kind, "%s", r.Message)
}

// Configure changes the configuration. All changes apply, or none.
type Configure struct {
	// ID makes the command idempotent: a repeat returns the first result.
	ID string `json:"id"`
	// Expect is the version that the change was made for. Zero skips the check; only withdrawals use it, because a
	// withdrawal is valid whatever else changed.
	Expect  uint64   `json:"expect,omitempty"`
	By      string   `json:"by,omitempty"` // the operator's name, for the history
	Changes []Change `json:"changes"`
}

// Change is one change of the configuration. Exactly one field is set. An Object with
// a nil Value deletes the object of that name.
type Change struct {
	InForce     *string                `json:"in_force,omitempty"`
	Preset      *Object[Preset]        `json:"preset,omitempty"`
	AddKey      *Object[Key]           `json:"give_key,omitempty"`
	WithdrawKey *string                `json:"withdraw,omitempty"` // key id
	Team        *Object[Team]          `json:"team,omitempty"`
	Queue       *Object[Queue]         `json:"queue,omitempty"`
	Pool        *Object[Pool]          `json:"pool,omitempty"`
	Service     *Object[Service]       `json:"service,omitempty"`
	Centre      *Object[DataCentre]    `json:"data_centre,omitempty"`
	Rack        *Object[Rack]          `json:"rack,omitempty"`
	Server      *Object[BackendServer] `json:"backend_server,omitempty"`
	EntryVM     *Object[EntryVM]       `json:"entry_vm,omitempty"`
	Policy      *Policy                `json:"policy,omitempty"`
}

// Object is a named value of the configuration.
type Object[T any] struct {
	Name  string `json:"name"`
	Value *T     `json:"value,omitempty"`
}

// Join makes the writer a member. It fences an earlier incarnation of the same VM, because two processes cannot hold
// the VM's addresses at once.
type Join struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// Renew renews the writer's lease.
type Renew struct{}

// Leave ends the writer's membership after a graceful shutdown: it runs nothing any more and gives back all grants.
type Leave struct {
	// Issued has the outcome of every id from number IssuedFloor on that the writer issued and that may have run, so
	// that all others from there on are known as not run.
	Issued      map[string]errkind.Outcome `json:"issued,omitempty"`
	IssuedFloor uint64                     `json:"issued_floor,omitempty"`
}

// Fence bars an incarnation for good, after the platform's list said that its VM is gone.
type Fence struct {
	Incarnation string `json:"incarnation"`
}

// Expire takes the leased grants from a member whose lease has lapsed by the writer's count.
type Expire struct {
	Incarnation string `json:"incarnation"`
	// LeaseSeq is the lease sequence that the writer saw lapse. The command is rejected if the lease was renewed since.
	LeaseSeq uint64 `json:"lease_seq"`
}

// Release frees the grants of a fenced incarnation once its task leases have run out by the writer's count.
type Release struct {
	Incarnation string `json:"incarnation"`
}

// RequestGrants states how many tasks of each team the writer wants to run. It also renews the lease.
type RequestGrants struct {
	Wants []TeamCount `json:"wants"`
}

// ReturnGrants lowers the writer's grants to the given counts.
type ReturnGrants struct {
	Keep []TeamCount `json:"keep"`
}

// TeamCount is a number of tasks of a team.
type TeamCount struct {
	Team  string `json:"team"`
	Count int    `json:"count"`
}

// MakeClaim claims a request id that may run at most once. The first claim in log order wins for ever.
type MakeClaim struct {
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
}

// CloseClaim bars a request id that was not run. It is rejected if the id is claimed by another incarnation.
type CloseClaim struct {
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
}

// FinishClaim records the outcome of the writer's claim.
type FinishClaim struct {
	Team      string          `json:"team"`
	RequestID string          `json:"request_id"`
	Outcome   errkind.Outcome `json:"outcome"`
}

// ReportHealth says that a backend server VM is down, or up again.
type ReportHealth struct {
	VM   string `json:"vm"`
	Down bool   `json:"down"`
}

// StartDrain asks for a drain slot for a VM. The fold accepts it only within every availability budget.
type StartDrain struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"` // phase epoch that the writer saw
	Wave  string `json:"wave,omitempty"`
}

// AdvancePhase takes a VM from one phase to the next. It is rejected if the phase epoch has moved on.
type AdvancePhase struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"`
	To    Phase  `json:"to"`
	// Abandon ends a move in the old pool instead of the new one.
	Abandon bool `json:"abandon,omitempty"`
	// Maintained marks the VM as done in its wave.
	Maintained bool `json:"maintained,omitempty"`
}

// StartMove takes a VM out of its pool towards another one, within every availability budget.
type StartMove struct {
	VM     string `json:"vm"`
	Epoch  uint64 `json:"epoch"`
	To     string `json:"to"`
	Layout uint64 `json:"layout"` // layout epoch for which the move was planned
}

// SetWave creates or changes a maintenance wave.
type SetWave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools,omitempty"` // empty for all pools
	State WaveState `json:"state"`
}

// SnapshotPart is one part of a snapshot of the state after offset UpTo.
type SnapshotPart struct {
	ID    string `json:"id"`
	UpTo  uint64 `json:"up_to"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"` // gzip of the encoded state, split
}
