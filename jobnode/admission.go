package jobnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/loadshed"
	"example.org/comfreyrouter/relay"
)

const (
	// askService is the name of the net/rpc service that the dispatcher's node offers to the others.
	askService = "Admission"
	// askWithin bounds the wait for the dispatcher's verdict. A job without one is accepted.
	askWithin = 120 * time.Millisecond
	// putWithin bounds how long a node's records wait for the dispatcher's append, which takes about 20 ms.
	putWithin = 400 * time.Millisecond
)

// AdmissionService answers other nodes whether a job is accepted.
type AdmissionService struct {
	log     zerolog.Logger
	current atomic.Pointer[dispatcher] // of this node, while it dispatches
}

// AskReply is the dispatcher's verdict.
type AskReply struct{ Verdict loadshed.Verdict }

// Ask returns the verdict on a job. It fails if this node doesn't dispatch.
func (a *AdmissionService) Ask(sub jobs.Submission, reply *AskReply) (err error) {
	defer netrpc.Recovered(a.log, "Ask", &err)
	v, ok := a.decide(&sub)
	if !ok {
		return errkind.New(errkind.Fenced, "this node doesn't dispatch")
	}
	reply.Verdict = v
	return nil
}

// decide returns the verdict on a job, if this node is the dispatcher for certain.
func (a *AdmissionService) decide(sub *jobs.Submission) (v loadshed.Verdict, ok bool) {
	d := a.current.Load()
	if d == nil || !d.holdsPlace() {
		return v, false
	}
	d.update(func(c *dispatch.Core) { v = c.Admit(sub) })
	return v, true
}

// PutOutcome says what became of records that the dispatcher was asked to store.
type PutOutcome int

// The outcomes.
const (
	PutRejected PutOutcome = iota // they are not stored
	PutStored
	PutUnknown // they may be stored, now or later
)

// PutArgs are records that a node wants to be stored.
type PutArgs struct{ Records []ledger.Record }

// PutReply says what became of them.
type PutReply struct{ Outcome PutOutcome }

// Put stores records together with the next ones of the dispatcher. The store carries out one append after another, about 250 a second, which is less
// than the jobs that many nodes take in a turn of the demand.
func (a *AdmissionService) Put(args PutArgs, reply *PutReply) (err error) {
	defer netrpc.Recovered(a.log, "Put", &err)
	reply.Outcome = a.put(args.Records)
	return nil
}

func (a *AdmissionService) put(records []ledger.Record) PutOutcome {
	if d := a.current.Load(); d != nil {
		return d.putFor(records)
	}
	return PutRejected
}

// asker asks the dispatcher whether jobs are accepted, and to store them.
type asker struct {
	admission *AdmissionService
	follower  *follower
	direct    int // up to how many nodes store their records themselves: their appends don't use up what the store carries out
	log       zerolog.Logger

	mu   sync.Mutex
	link *relay.Link
	to   string // address
}

// ask returns the dispatcher's verdict on a job, and whether it is the dispatcher's. Without one in time the job is accepted.
func (a *asker) ask(ctx context.Context, sub jobs.Submission) (v loadshed.Verdict, asked bool) {
	if v, ok := a.admission.decide(&sub); ok {
		return v, true
	}
	accepted := loadshed.Verdict{Accepted: true}
	link := a.dispatcher()
	if link == nil || !link.Usable(time.Now()) {
		return accepted, false
	}
	var reply AskReply
	if link.Call(ctx, askService+".Ask", sub, &reply, askWithin) != nil {
		return accepted, false // the link logs when the node doesn't answer
	}
	return reply.Verdict, true
}

// AcceptedArgs name a job that a node has accepted without a verdict, and of which it doesn't know whether it is stored.
type AcceptedArgs struct{ Job string }

// Accepted notes that a job must not be refused. It fails if this node doesn't dispatch.
func (a *AdmissionService) Accepted(args AcceptedArgs, _ *relay.PingReply) (err error) {
	defer netrpc.Recovered(a.log, "Accepted", &err)
	if !a.noteAccepted(args.Job) {
		return errkind.New(errkind.Fenced, "this node doesn't dispatch")
	}
	return nil
}

func (a *AdmissionService) noteAccepted(id string) bool {
	d := a.current.Load()
	if d == nil {
		return false
	}
	d.update(func(c *dispatch.Core) { c.NoteAccepted(id) })
	return true
}

// noteTries and notePause bound how long a node tries to tell the dispatcher of a job that it has accepted without a verdict.
const (
	noteTries = 20
	notePause = 150 * time.Millisecond
)

// noteUnknown tells the dispatcher of a job that may be stored without its knowledge, so that it doesn't refuse the caller's next try: a caller who is
// refused is told that the job never runs.
func (a *asker) noteUnknown(id string) {
	for range noteTries {
		if a.admission.noteAccepted(id) {
			return
		}
		if link := a.dispatcher(); link != nil && link.Usable(time.Now()) &&
			link.Call(context.Background(), askService+".Accepted", AcceptedArgs{id}, &relay.PingReply{}, askWithin) == nil {
			return
		}
		time.Sleep(notePause)
	}
}

// put asks the dispatcher to store records.
func (a *asker) put(ctx context.Context, records []ledger.Record) PutOutcome {
	a.follower.mu.Lock()
	nodes := len(a.follower.ledger.Nodes)
	a.follower.mu.Unlock()
	if nodes <= a.direct || bytesOf(records) > putBytes {
		return PutRejected
	}
	if outcome := a.admission.put(records); outcome != PutRejected {
		return outcome
	}
	link := a.dispatcher()
	if link == nil || !link.Usable(time.Now()) {
		return PutRejected
	}
	var reply PutReply
	switch link.Call(ctx, askService+".Put", PutArgs{records}, &reply, putWithin+askWithin) {
	case nil:
		return reply.Outcome
	case relay.ErrNotSent:
		return PutRejected
	}
	return PutUnknown
}

// dispatcher returns the link to the dispatcher's node, or nil if none is known that listens.
func (a *asker) dispatcher() *relay.Link {
	a.follower.mu.Lock()
	d := a.follower.ledger.Dispatcher
	address := a.follower.ledger.Nodes[d.Node].Address
	silent := boottime.Now()-a.follower.heard > freshWithin
	a.follower.mu.Unlock()
	if address == "" || d.Released || silent {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.to != address {
		if a.link != nil {
			a.link.Close()
		}
		a.link, a.to = relay.NewLink(d.Node, address, a.log), address
	}
	return a.link
}
