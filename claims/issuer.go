// Package claims holds one entry VM's side of requests that run at most once: the ids it issued, the requests it runs, and
// the results it keeps for callers that ask again.
package claims

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"example.org/comfreyrouter/errkind"
)

// issuedPrefix marks ids that an entry VM issued.
const issuedPrefix = "i-"

// IssuedID is a request id that names the incarnation that issued it.
type IssuedID struct {
	Incarnation string
	Number      uint64
}

// String returns the id as callers see it.
func (id IssuedID) String() string {
	return issuedPrefix + id.Incarnation + "-" + strconv.FormatUint(id.Number, 10)
}

// ParseIssued returns the parts of an issued id, and false for any other id.
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

// maxIssued is the number of issued ids that an issuer remembers. Older ones are answered as expired and never run.
const maxIssued = 100_000

// Issuer issues ids that only its incarnation may run, so that an order needs no record in the log. An id runs at most
// once, because the first Begin takes it for good.
type Issuer struct {
	incarnation string
	next        uint64
	floor       uint64 // ids below it have been forgotten
	teams       map[uint64]string
	begun       map[uint64]errkind.Outcome // empty outcome while it runs
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

// Begin takes an id for its only run. It fails with IDExpired for a forgotten id, RequestUnknown for one that was
// never issued to the team, and ClaimedElsewhere for one that has begun already.
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

// Finish records the outcome of a run. With NotRun the id stays closed: a caller that was told so may have given up.
func (i *Issuer) Finish(id IssuedID, outcome errkind.Outcome) {
	if _, ok := i.begun[id.Number]; ok {
		i.begun[id.Number] = outcome
	}
}

// maxRecorded is the number of ids that the record of a graceful shutdown tells of. The fold keeps the records of 256 issuers,
// which at about 60 bytes for an id is 15 MB at most.
const maxRecorded = 1000

// Outcomes returns, for the record of a graceful shutdown, the outcome of every id from number floor on that has begun. An id
// that still runs is unknown. An id below the floor may have run and been forgotten, so nothing can be told of it.
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

// Outcome returns the outcome of an id that has begun, empty while it runs, and false if it has not begun or was not issued
// to the team.
func (i *Issuer) Outcome(team string, id IssuedID) (errkind.Outcome, bool) {
	if id.Incarnation != i.incarnation || i.teams[id.Number] != team {
		return "", false
	}
	outcome, ok := i.begun[id.Number]
	return outcome, ok
}
