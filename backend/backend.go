// Package backend is the HTTP client of a backend server's task interface. It delivers an answer only if it is whole and belongs
// to the request.
package backend

import (
	"time"

	"example.org/comfreyrouter/fleet"
)

// Header names of the task interface.
const (
	HeaderTaskID     = "Comfrey-Task-Id"
	HeaderHolder     = "Comfrey-Holder"
	HeaderFence      = "Comfrey-Fence"
	HeaderPoolEpoch  = "Comfrey-Pool-Epoch"
	HeaderLeaseUntil = "Comfrey-Lease-Until-Ms"
	HeaderStartUntil = "Comfrey-Start-Until-Ms"
	HeaderBootID     = "Comfrey-Boot-Id" // boot of the server whose clock the lease is in
	HeaderClass      = "Comfrey-Class"
	HeaderQueue      = "Comfrey-Queue"
	HeaderTeam       = "Comfrey-Team"
	HeaderResume     = "Comfrey-Resume"  // "true" if the body is the state of a checkpointed task
	HeaderDigest     = "Comfrey-Digest"  // xxhash64 of the answer's body, in hexadecimal
	HeaderStarted    = "Comfrey-Started" // "false" on a refusal before the start
	HeaderReason     = "Comfrey-Reason"  // reason of a refusal: busy, draining, fence, epoch, boot, late, lease, duplicate
)

// Task is a request as it goes to a backend server.
type Task struct {
	ID    string
	Queue string
	Team  string
	Class fleet.Class
	// Holder is the entry VM's name and Fence the number of its incarnation.
	Holder    string
	Fence     uint64
	PoolEpoch uint64
	// LeaseUntil is the end of the task's lease in milliseconds of the server's own clock.
	LeaseUntil int64
	// StartUntil is the latest time on the server's own clock, in milliseconds, at which the task may start.
	StartUntil int64
	// BootID is the boot that both times were computed for. A server that has restarted since has another clock and refuses the task.
	BootID string
	Body   []byte
	// Resume says that Body is the state of a checkpointed task, which continues from there.
	Resume bool
}

// LeaseRequest renews the leases of a holder's tasks on one server.
type LeaseRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// BootID is the boot that Until was computed for. A server of another boot renews nothing and returns its status.
	BootID string           `json:"boot_id"`
	Until  map[string]int64 `json:"until"` // by task id, in milliseconds of the server's own clock
}

// Status is what a backend server says of itself.
type Status struct {
	Name string `json:"name"`
	// BootID differs for every start of the server. ClockMillis starts anew with it.
	BootID string `json:"boot_id"`
	// ClockMillis is the server's own monotonic clock, in milliseconds.
	ClockMillis int64          `json:"clock_millis"`
	Slots       int            `json:"slots"`
	Draining    bool           `json:"draining"`
	PoolEpoch   uint64         `json:"pool_epoch"`
	Running     []TaskStatus   `json:"running"`
	ByHolder    map[string]int `json:"by_holder"`
}

// TaskStatus is the usage report of a running task. It lags.
type TaskStatus struct {
	ID      string        `json:"id"`
	Holder  string        `json:"holder"`
	Team    string        `json:"team"`
	Queue   string        `json:"queue"`
	Class   fleet.Class   `json:"class"`
	RunTime time.Duration `json:"run_time"`
	// Cores is the number of processor cores the task uses, measured some time ago.
	Cores float64 `json:"cores"`
}
