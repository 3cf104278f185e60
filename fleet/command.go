package fleet

import "example.org/comfreyrouter/errkind"

// Batch is one record of the log: the commands that one writer appended together.
type Batch struct {
	// Writer is the incarnation that appended the batch.
	Writer string `json:"writer"`
	// Seq numbers the writer's batches from 1. The fold ignores a batch whose Seq is not above the writer's last, so
	// an append that is repeated after a lost response, or that arrives late, takes effect only once.
	Seq      uint64    `json:"seq"`
	Commands []Command `json:"commands"`
}

// Command is one change of the state. Exactly one field is set.
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

// Result says whether a command was accepted and, if not, why.
type Result struct {
	// Kind is empty for an accepted command.
	Kind    errkind.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	// Version is the configuration version after the command; for a version conflict, the version in force.
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

// Configure changes the configuration. Either all changes are applied or none.
type Configure struct {
	// ID makes the command idempotent: a repeat returns the first result.
	ID string `json:"id"`
	// Expect is the version that the change was made for. Zero skips the check. Apart from the first change, only key
	// withdrawals may use it, because a withdrawal is valid whatever else has changed.
	Expect  uint64   `json:"expect,omitempty"`
	By      string   `json:"by,omitempty"` // operator's name, for the history
	Changes []Change `json:"changes"`
}

// Change is one change of the configuration. Exactly one field is set. An Object with
// a nil Value deletes the object with that name.
type Change struct {
	InForce     *string                `json:"in_force,omitempty"`
	Preset      *Object[Preset]        `json:"preset,omitempty"`
	AddKey      *Object[Key]           `json:"give_key,omitempty"`
	WithdrawKey *string                `json:"withdraw,omitempty"` // key id
	Team        *Object[Team]          `json:"team,omitempty"`
	Queue       *Object[Queue]         `json:"queue,omitempty"`
	Pool        *Object[Pool]          `json:"pool,omitempty"`
	Service     *Object[Service]       `json:"service,omitempty"`
	DataCentre  *Object[DataCentre]    `json:"data_centre,omitempty"`
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

// Join makes the writer a member. It fences earlier incarnations of the same VM, because two processes cannot hold
// the VM's addresses at once.
type Join struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// Renew renews the writer's lease.
type Renew struct{}

// Leave ends the writer's membership after a graceful shutdown. The writer runs no tasks any more, so all its grants are freed.
type Leave struct {
	// Issued holds the outcome of each request id issued by the writer that may have run, for numbers from IssuedFloor
	// on. Any other id with such a number is known not to have run.
	Issued      map[string]errkind.Outcome `json:"issued,omitempty"`
	IssuedFloor uint64                     `json:"issued_floor,omitempty"`
}

// Fence excludes an incarnation permanently, after the platform's list reported its VM as gone.
type Fence struct {
	Incarnation string `json:"incarnation"`
}

// Expire revokes the leased grants of a member whose lease has expired by the writer's measurement.
type Expire struct {
	Incarnation string `json:"incarnation"`
	// LeaseSeq is the lease sequence number that the writer saw expire. The command is rejected if the lease was renewed since.
	LeaseSeq uint64 `json:"lease_seq"`
}

// Release frees the grants of a fenced incarnation once its task leases have expired by the writer's measurement.
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

// MakeClaim claims a request id that may run at most once. The first claim in log order wins permanently.
type MakeClaim struct {
	// Team is the namespace of the id: the team, or "open:" and the queue for an open queue. It is the same in CloseClaim and FinishClaim.
	Team      string `json:"team"`
	RequestID string `json:"request_id"`
}

// CloseClaim closes a request id that was not run, so that nobody can run it later. It is rejected if another incarnation has claimed
// the id.
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

// ReportHealth reports a backend server VM as down, or as up again.
type ReportHealth struct {
	VM   string `json:"vm"`
	Down bool   `json:"down"`
}

// StartDrain starts to drain a VM for maintenance. It is accepted only within the preset's drain limit and every availability budget.
type StartDrain struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"` // phase epoch seen by the writer
	Wave  string `json:"wave,omitempty"`
}

// AdvancePhase puts a VM into its next phase. It is rejected if the phase epoch has changed since.
type AdvancePhase struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"`
	To    Phase  `json:"to"`
	// Abandon ends a move by returning the VM to its old pool.
	Abandon bool `json:"abandon,omitempty"`
	// Maintained records that the VM's maintenance in its wave is complete.
	Maintained bool `json:"maintained,omitempty"`
}

// StartMove starts to move a VM to another pool. It is accepted only within every availability budget.
type StartMove struct {
	VM     string `json:"vm"`
	Epoch  uint64 `json:"epoch"`
	To     string `json:"to"`
	Layout uint64 `json:"layout"` // layout epoch that the move was planned for
}

// SetWave creates a maintenance wave in state WavePlanned, or changes the state of an existing one.
type SetWave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools,omitempty"` // empty for all pools; an existing wave keeps its own
	State WaveState `json:"state"`
}

// SnapshotPart is one part of a snapshot of the state at offset UpTo.
type SnapshotPart struct {
	ID    string `json:"id"`
	UpTo  uint64 `json:"up_to"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"` // slice of the state's gzipped JSON
}
