package ledger

import (
	"encoding/json"
	"strconv"

	"example.org/comfreyrouter/jobs"
)

// encode marshals types of this package and of package jobs, which can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // no such type holds a value that JSON can't represent
	}
	return data
}

// DispatcherRecord stores which node has the dispatcher role.
func DispatcherRecord(d Dispatcher) Record { return Record{keyDispatcher, encode(d)} }

// SubmissionRecord stores an accepted job.
func SubmissionRecord(s jobs.Submission) Record { return Record{prefixJob + s.ID, encode(s)} }

// CancelRecord stores that a job is cancelled.
func CancelRecord(id string) Record { return Record{prefixCancel + id, []byte("1")} }

// ProgressRecord stores the progress of a job.
func ProgressRecord(id string, p Progress) Record { return Record{prefixProgress + id, encode(p)} }

// FinalStateRecords store the final state of a job and remove its other records.
func FinalStateRecords(id string, f FinalState) []Record {
	return []Record{
		{prefixFinal + id, encode(f)},
		{prefixJob + id, nil},
		{prefixProgress + id, nil},
		{prefixCancel + id, nil},
	}
}

// SubmissionRemovedRecord removes the submission of a job.
func SubmissionRemovedRecord(id string) Record { return Record{prefixJob + id, nil} }

// JobRemovedRecord removes a job that ended long ago.
func JobRemovedRecord(id string) Record { return Record{prefixFinal + id, nil} }

// ServerRecord stores that a server may be given work from now on.
func ServerRecord(id string, s Server) Record { return Record{prefixServer + id, encode(s)} }

// ServerRemovedRecord removes a server on which nothing runs any more.
func ServerRemovedRecord(id string) Record { return Record{prefixServer + id, nil} }

// WaveRecord stores the machines of a wave whose upkeep has begun.
func WaveRecord(number int64, machines []string) Record {
	return Record{prefixWave + strconv.FormatInt(number, 10), encode(machines)}
}

// MachineRecord stores that an order for a machine is about to be given.
func MachineRecord(machine string, o MachineOrder) Record {
	return Record{prefixMachine + machine, encode(o)}
}

// NodeRecord stores a node's record about itself.
func NodeRecord(name string, n Node) Record { return Record{prefixNode + name, encode(n)} }

// NodeRemovedRecord removes a node that has left the fleet.
func NodeRemovedRecord(name string) Record { return Record{prefixNode + name, nil} }

// IsDispatcherKey reports whether a key is that of the dispatcher record.
func IsDispatcherKey(key string) bool { return key == keyDispatcher }
