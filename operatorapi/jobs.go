package operatorapi

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
