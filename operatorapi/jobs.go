package operatorapi

import "example.org/comfreyrouter/dispatch"

// DispatcherStatus describes the dispatcher of the jobs subsystem.
type DispatcherStatus struct {
	Node     string          `json:"node"`
	Epoch    int64           `json:"epoch"`
	Jobs     JobCounts       `json:"jobs"`
	Runs     int             `json:"runs"`
	Servers  int             `json:"servers"`
	Services []ServiceStatus `json:"services"`
}

// JobCounts holds the numbers of jobs that have not ended, by state. Late jobs can't be on time any more.
type JobCounts struct {
	LongRunning int `json:"long_running"`
	Started     int `json:"started"`
	OnTime      int `json:"on_time"`
	OverShare   int `json:"over_share"`
	Late        int `json:"late"`
}

// ServiceStatus is the load of a service. Capacities are in whole servers, backlogs in seconds of server time.
type ServiceStatus struct {
	Name        string  `json:"name"`
	Servers     float64 `json:"servers"`
	FreeServers float64 `json:"free_servers"`
	Arriving    float64 `json:"arriving_servers"`
	BacklogS    float64 `json:"backlog_s"`
	LateS       float64 `json:"late_backlog_s"`
}

// ExplainQuery asks what would happen to a call that submits a job. Path may end in the job's id, and Key may be empty.
type ExplainQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// ExplainAnswer says what would happen to a call. Refused is the error kind with which it would be refused before the job is looked at, if it would be.
type ExplainAnswer struct {
	Queue   string                `json:"queue,omitempty"`
	Refused string                `json:"refused,omitempty"`
	Message string                `json:"message,omitempty"`
	Known   bool                  `json:"known"` // the job was accepted before, and is not stored again
	Job     *dispatch.Explanation `json:"job,omitempty"`
}
