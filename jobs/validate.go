package jobs

import (
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/boundedjson"
)

// Limits of a job, which reject input that no fleet could run. They are far above what members submit.
const (
	maxSteps       = boundedjson.MaxValues
	maxTasks       = 20_000 // of all steps
	maxTextBytes   = 4_000  // the platform accepts no more
	maxOccurrences = 5_000  // the progress of all occurrences must fit into one record of 256 KB
	idLength       = 16     // hexadecimal digits
)

// ValidID reports whether a string has the form of a job id.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// Validate returns an error of kind bad_request for a job that no fleet could run.
func (s Spec) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return errkind.New(errkind.BadRequest, "the job has %d steps, but must have 1 to %d", len(s.Steps), maxSteps)
	}
	if len(s.Text) > maxTextBytes {
		return errkind.New(errkind.BadRequest, "the job's text has %d bytes, but must have at most %d", len(s.Text), maxTextBytes)
	}
	if s.Repeated < 0 || s.Repeated > maxOccurrences || s.EveryMS < 0 {
		return errkind.New(errkind.BadRequest, "the job repeats %d times each %d ms", s.Repeated, s.EveryMS)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return err
		}
		tasks += step.Count
	}
	if tasks > maxTasks {
		return errkind.New(errkind.BadRequest, "the job has %d tasks, but must have at most %d", tasks, maxTasks)
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errkind.New(errkind.BadRequest, "step %d has %d tasks", index, s.Count)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.EstimateMS < 0 || s.MaxPerServer < 0 {
		return errkind.New(errkind.BadRequest, "step %d has a size below zero", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return errkind.New(errkind.BadRequest, "step %d waits for step %d, which doesn't come before it", index, before)
		}
	}
	return nil
}
