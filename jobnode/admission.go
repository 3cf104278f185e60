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
	// admissionServiceName is the name of the net/rpc service that the dispatcher's node offers to the other nodes.
	admissionServiceName = "Admission"
	// admissionTimeout bounds the wait for the dispatcher's verdict. A job without a verdict is accepted.
	admissionTimeout = 120 * time.Millisecond
	// putTimeout bounds how long the records of another node wait for the dispatcher's append, which takes about 20 ms.
	putTimeout = 400 * time.Millisecond
)

// AdmissionService is the net/rpc service through which other nodes ask the dispatcher whether to accept a job, and have records stored.
type AdmissionService struct {
	log     zerolog.Logger
	current atomic.Pointer[dispatcher] // nil unless this node is the dispatcher
}

// AskReply holds the dispatcher's verdict.
type AskReply struct{ Verdict loadshed.Verdict }

// Ask returns the verdict on a job. It fails if this node isn't the dispatcher.
func (a *AdmissionService) Ask(sub jobs.Submission, reply *AskReply) (err error) {
	defer netrpc.Recovered(a.log, "Ask", &err)
	v, ok := a.decide(&sub)
	if !ok {
		return errkind.New(errkind.Fenced, "this node doesn't dispatch")
	}
	reply.Verdict = v
	return nil
}

// decide returns the verdict on a job. ok is false unless this node is certainly the only dispatcher.
func (a *AdmissionService) decide(sub *jobs.Submission) (v loadshed.Verdict, ok bool) {
	d := a.current.Load()
	if d == nil || !d.holdsRole() {
		return v, false
	}
	d.update(func(c *dispatch.Core) { v = c.Admit(sub) })
	return v, true
}

// PutOutcome is the result of asking the dispatcher to store records.
type PutOutcome int

// Outcomes of Put. They are sent as numbers, so their order is fixed.
const (
	PutRejected PutOutcome = iota // the records are not stored
	PutStored
	PutUnconfirmed // the records may be stored, now or later
)

// PutArgs holds the records that a node wants stored.
type PutArgs struct{ Records []ledger.Record }

// PutReply holds the outcome of a Put.
type PutReply struct{ Outcome PutOutcome }

// Put stores records together with the dispatcher's next ones. The store carries out appends one after another, about 250 a second, which is less
// than the number of jobs that many nodes accept during a demand peak.
func (a *AdmissionService) Put(args PutArgs, reply *PutReply) (err error) {
	defer netrpc.Recovered(a.log, "Put", &err)
	reply.Outcome = a.put(args.Records)
	return nil
}

func (a *AdmissionService) put(records []ledger.Record) PutOutcome {
	if d := a.current.Load(); d != nil {
		return d.storeForNode(records)
	}
	return PutRejected
}

// admissionClient asks the dispatcher whether to accept jobs, and to store records.
type admissionClient struct {
	admission   *AdmissionService
	follower    *follower
	directNodes int // up to this many nodes, each appends its own records: the store can carry out that many appends
	log         zerolog.Logger

	mu      sync.Mutex
	link    *relay.Link
	address string // of the node that link connects to
}

// ask returns the verdict on a job, and whether the dispatcher has given it. Without a verdict in time the job is accepted.
func (a *admissionClient) ask(ctx context.Context, sub jobs.Submission) (v loadshed.Verdict, decided bool) {
	if v, ok := a.admission.decide(&sub); ok {
		return v, true
	}
	accepted := loadshed.Verdict{Accepted: true}
	link := a.dispatcherLink()
	if link == nil || !link.Usable(time.Now()) {
		return accepted, false
	}
	var reply AskReply
	if link.Call(ctx, admissionServiceName+".Ask", sub, &reply, admissionTimeout) != nil {
		return accepted, false // the link logs that the node doesn't answer
	}
	return reply.Verdict, true
}

// AcceptedArgs names a job that a node has accepted without a verdict. The node doesn't know whether the job is stored.
type AcceptedArgs struct{ Job string }

// Accepted records that a job must not be rejected. It fails if this node isn't the dispatcher.
func (a *AdmissionService) Accepted(args AcceptedArgs, _ *relay.PingReply) (err error) {
	defer netrpc.Recovered(a.log, "Accepted", &err)
	if !a.markAccepted(args.Job) {
		return errkind.New(errkind.Fenced, "this node doesn't dispatch")
	}
	return nil
}

func (a *AdmissionService) markAccepted(id string) bool {
	d := a.current.Load()
	if d == nil {
		return false
	}
	d.update(func(c *dispatch.Core) { c.MarkAccepted(id) })
	return true
}

// notifyAttempts and notifyRetryDelay bound how long a node tries to tell the dispatcher of a job that it has accepted without a verdict.
const (
	notifyAttempts   = 20
	notifyRetryDelay = 150 * time.Millisecond
)

// notifyAccepted tells the dispatcher of a job that may be stored without its knowledge, so that it doesn't reject the caller's next attempt: a
// rejection tells the caller that the job will never run.
func (a *admissionClient) notifyAccepted(id string) {
	for range notifyAttempts {
		if a.admission.markAccepted(id) {
			return
		}
		if link := a.dispatcherLink(); link != nil && link.Usable(time.Now()) &&
			link.Call(context.Background(), admissionServiceName+".Accepted", AcceptedArgs{id}, &relay.PingReply{}, admissionTimeout) == nil {
			return
		}
		time.Sleep(notifyRetryDelay)
	}
}

// put asks the dispatcher to store records.
func (a *admissionClient) put(ctx context.Context, records []ledger.Record) PutOutcome {
	a.follower.mu.Lock()
	nodes := len(a.follower.ledger.Nodes)
	a.follower.mu.Unlock()
	if nodes <= a.directNodes || recordBytes(records) > maxPutBytes {
		return PutRejected
	}
	if outcome := a.admission.put(records); outcome != PutRejected {
		return outcome
	}
	link := a.dispatcherLink()
	if link == nil || !link.Usable(time.Now()) {
		return PutRejected
	}
	var reply PutReply
	switch link.Call(ctx, admissionServiceName+".Put", PutArgs{records}, &reply, putTimeout+admissionTimeout) {
	case nil:
		return reply.Outcome
	case relay.ErrNotSent:
		return PutRejected
	}
	return PutUnconfirmed
}

// dispatcherLink returns the link to the dispatcher's node, or nil if no dispatcher is known that listens for other nodes.
func (a *admissionClient) dispatcherLink() *relay.Link {
	a.follower.mu.Lock()
	d := a.follower.ledger.Dispatcher
	dispatcherAddress := a.follower.ledger.Nodes[d.Node].Address
	stale := boottime.Now()-a.follower.heardAt > maxLedgerAge
	a.follower.mu.Unlock()
	if dispatcherAddress == "" || d.Released || stale {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.address != dispatcherAddress {
		if a.link != nil {
			a.link.Close()
		}
		a.link, a.address = relay.NewLink(d.Node, dispatcherAddress, a.log), dispatcherAddress
	}
	return a.link
}
