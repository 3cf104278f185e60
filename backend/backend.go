// Package backend is the HTTP client of the task interface of backend servers. It returns an answer only if it is complete and
// belongs to the request.
package backend

import (
	"time"

	"example.org/comfreyrouter/fleet"
)

// Headers of the task interface. Those without a comment hold the fields of Task.
const (
	HeaderTaskID     = "Comfrey-Task-Id"
	HeaderHolder     = "Comfrey-Holder"
	HeaderFence      = "Comfrey-Fence"
	HeaderPoolEpoch  = "Comfrey-Pool-Epoch"
	HeaderLeaseUntil = "Comfrey-Lease-Until-Ms"
	HeaderStartUntil = "Comfrey-Start-Until-Ms"
	HeaderBootID     = "Comfrey-Boot-Id" // boot of the server to whose clock the times refer
	HeaderClass      = "Comfrey-Class"
	HeaderQueue      = "Comfrey-Queue"
	HeaderTeam       = "Comfrey-Team"
	HeaderResume     = "Comfrey-Resume"  // "true" if the body is the state of a checkpointed task
	HeaderDigest     = "Comfrey-Digest"  // xxhash64 of the answer's body, in hexadecimal
	HeaderStarted    = "Comfrey-Started" // "false" if the server refused the task before it started
	HeaderReason     = "Comfrey-Reason"  // reason of a refusal: busy, draining, fence, epoch, boot, late, lease, duplicate
)

// Task is a request as sent to a backend server.
type Task struct {
	ID    string
	Queue string
	Team  string
	Class fleet.Class
	// Holder is the name of the entry VM, and Fence is the number of its incarnation.
	Holder string
	Fence  uint64
	// PoolEpoch is the phase epoch of the server's VM that the entry VM has seen. A server that has seen a later one refuses the task.
	PoolEpoch uint64
	// LeaseUntil is the end of the task's lease, in milliseconds on the server's own clock.
	LeaseUntil int64
	// StartUntil is the latest time on the server's own clock, in milliseconds, at which the task may start.
	StartUntil int64
	// BootID is the boot for which both times were computed. A server that has restarted since then has a new clock and refuses the task.
	BootID string
	Body   []byte
	// Resume is set if Body is the state of a checkpointed task, which then continues from that state.
	Resume bool
}

// LeaseRequest renews the leases of a holder's tasks on one server.
type LeaseRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// BootID is the boot for which Until was computed. A server with another boot id renews no lease and only returns its status.
	BootID string           `json:"boot_id"`
	Until  map[string]int64 `json:"until"` // by task id, in milliseconds on the server's own clock
}

// Status is the state that a backend server reports.
type Status struct {
	Name string `json:"name"`
	// BootID is different after each start of the server, and ClockMillis restarts with it.
	BootID string `json:"boot_id"`
	// ClockMillis is the server's own monotonic clock, in milliseconds.
	ClockMillis int64  `json:"clock_millis"`
	Slots       int    `json:"slots"` // number of tasks that the server can run at the same time
	Draining    bool   `json:"draining"`
	PoolEpoch   uint64 `json:"pool_epoch"` // latest phase epoch of its VM that the server has seen
	// RunningCount is the number of running tasks.
	RunningCount int `json:"running_count"`
	// Running and ByHolder, the number of running tasks by holder, are set only in the answer to GET /v1/status?tasks=true: with eight
	// tasks they make up nine tenths of it.
	Running  []TaskStatus   `json:"running,omitempty"`
	ByHolder map[string]int `json:"by_holder,omitempty"`
}

// TaskStatus is the usage report of a running task. It is delayed.
type TaskStatus struct {
	ID      string        `json:"id"`
	Holder  string        `json:"holder"`
	Team    string        `json:"team"`
	Queue   string        `json:"queue"`
	Class   fleet.Class   `json:"class"`
	RunTime time.Duration `json:"run_time"`
	// Cores is the number of processor cores that the task used at the time of the measurement, some time ago.
	Cores float64 `json:"cores"`
}
