package operatorapi

// EvacuationQuery asks what evacuations would leave. The data centres are those that would be evacuated besides those that are.
type EvacuationQuery struct {
	DataCentres []string `json:"data_centres"`
}

// Evacuations describes the evacuated data centres and what they leave to each service. ViewAgeS is how old the dispatcher's view of the requests is, in
// seconds; StartsHeld says that it is too old for any task to start.
type Evacuations struct {
	DataCentres []EvacuatedDataCentre `json:"data_centres"`
	Services    []RemainingCapacity   `json:"services"`
	ViewAgeS    float64               `json:"view_age_s"`
	StartsHeld  bool                  `json:"starts_held"`
}

// EvacuatedDataCentre describes a data centre that is evacuated, or would be. It is unknown if it has no backend server.
type EvacuatedDataCentre struct {
	Name        string `json:"name"`
	InForce     bool   `json:"in_force"`
	Servers     int    `json:"servers"`
	ShortTasks  int    `json:"short_tasks"`        // end by themselves
	LongRunning int    `json:"long_running_tasks"` // have to move
}

// RemainingCapacity is the capacity of a service or a spare pool, in machines. Needed is what its jobs need now.
type RemainingCapacity struct {
	Service  string  `json:"service"`
	Spare    bool    `json:"spare"`
	Machines int     `json:"machines"`
	Left     int     `json:"left"`
	Needed   float64 `json:"needed"`
}
