// Package claims is an entry VM's part in running each request at most once: it issues request ids, tracks which of them have
// begun, and keeps results for callers that repeat a request. Where its functions take a team, they accept any namespace of ids: an
// entry VM also has one for each open queue, whose ids anybody may look up.
package claims

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"example.org/comfreyrouter/errkind"
)

// issuedPrefix distinguishes ids that an entry VM issued from ids that a caller chose.
const issuedPrefix = "i-"

// IssuedID is a request id that names the incarnation that issued it.
type IssuedID struct {
	Incarnation string
	Number      uint64
}

// String returns the id in the form that callers send and receive.
func (id IssuedID) String() string {
	return issuedPrefix + id.Incarnation + "-" + strconv.FormatUint(id.Number, 10)
}

// ParseIssued parses an issued id. It returns false for any other id.
func ParseIssued(s string) (IssuedID, bool) {
	rest, ok := strings.CutPrefix(s, issuedPrefix)
	if !ok {
		return IssuedID{}, false
	}
	incarnation, number, ok := strings.Cut(rest, "-")
	if !ok || incarnation == "" {
		return IssuedID{}, false
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return IssuedID{}, false
	}
	return IssuedID{Incarnation: incarnation, Number: n}, true
}

// maxIssued is the number of issued ids that an issuer remembers. Older ones are refused as expired and never run.
const maxIssued = 100_000

// Issuer issues ids that only its own incarnation may run, so that running one needs no record in the log. An id runs at most
// once, because Begin succeeds only once for each id.
type Issuer struct {
	incarnation string
	next        uint64                     // number of the next id
	floor       uint64                     // ids with lower numbers have been forgotten
	teams       map[uint64]string          // team that each id was issued to, by number
	begun       map[uint64]errkind.Outcome // outcome of each id that has begun, by number; empty while it runs
}

// NewIssuer returns an issuer for one incarnation of an entry VM.
func NewIssuer(incarnation string) *Issuer {
	return &Issuer{
		incarnation: incarnation,
		next:        1,
		floor:       1,
		teams:       map[uint64]string{},
		begun:       map[uint64]errkind.Outcome{},
	}
}

// Issue returns count new ids for a team.
func (i *Issuer) Issue(team string, count int) []string {
	ids := make([]string, 0, count)
	for range count {
		i.teams[i.next] = team
		ids = append(ids, IssuedID{i.incarnation, i.next}.String())
		i.next++
	}
	for i.next-i.floor > maxIssued {
		delete(i.teams, i.floor)
		delete(i.begun, i.floor)
		i.floor++
	}
	return ids
}

// Begin marks an id as used by its only run. It fails with IDExpired for a forgotten id, RequestUnknown for one that was
// never issued to the team, and ClaimedElsewhere for one that has already begun.
func (i *Issuer) Begin(team string, id IssuedID) error {
	switch {
	case id.Number < i.floor:
		return errkind.New(errkind.IDExpired, "request id %s is older than the ids that are kept", id)
	case id.Incarnation != i.incarnation || id.Number >= i.next || i.teams[id.Number] != team:
		return errkind.New(errkind.RequestUnknown, "request id %s was not issued to this team", id)
	}
	if _, ok := i.begun[id.Number]; ok {
		return errkind.New(errkind.ClaimedElsewhere, "request id %s has been used", id)
	}
	i.begun[id.Number] = ""
	return nil
}

// Finish records the outcome of a run. An id with the outcome NotRun stays used, because a caller that was told so may have given up.
func (i *Issuer) Finish(id IssuedID, outcome errkind.Outcome) {
	if _, ok := i.begun[id.Number]; ok {
		i.begun[id.Number] = outcome
	}
}

// maxRecorded is the maximum number of ids in the record of a graceful shutdown. The fold keeps the records of 256 issuers: at
// about 60 bytes per id, 15 MB at most.
const maxRecorded = 1000

// Outcomes returns the content of the record of a graceful shutdown: the outcome of every id that has begun and whose number is at
// least floor. The outcome of an id that still runs is Unknown. An id below the floor may have run and been forgotten, so its
// outcome cannot be given.
func (i *Issuer) Outcomes() (outcomes map[string]errkind.Outcome, floor uint64) {
	numbers := slices.Sorted(maps.Keys(i.begun))
	floor = i.floor
	if extra := len(numbers) - maxRecorded; extra > 0 {
		floor = numbers[extra]
		numbers = numbers[extra:]
	}
	outcomes = make(map[string]errkind.Outcome, len(numbers))
	for _, n := range numbers {
		outcome := i.begun[n]
		if outcome == "" {
			outcome = errkind.Unknown
		}
		outcomes[IssuedID{i.incarnation, n}.String()] = outcome
	}
	return outcomes, floor
}

// Outcome returns the outcome of an id that has begun, which is empty while it runs. It returns false if the id has not begun or was
// not issued to the team.
func (i *Issuer) Outcome(team string, id IssuedID) (errkind.Outcome, bool) {
	if id.Incarnation != i.incarnation || i.teams[id.Number] != team {
		return "", false
	}
	outcome, ok := i.begun[id.Number]
	return outcome, ok
}
