package jobnode

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/httpserve"
	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/loadshed"
	"example.org/comfreyrouter/operatorapi"
)

const (
	// queryTimeout bounds the wait for the dispatcher's answer.
	queryTimeout = 2 * time.Second
	// maxQueryBytes bounds the arguments of a query.
	maxQueryBytes = 1 << 20
)

// operatorQueries are the queries of operators, by name. The dispatcher answers them from its state without changing it. The arguments are the body of the
// call; the answer is sent as JSON.
var operatorQueries = map[string]func(d *dispatcher, args []byte) (any, error){
	"dispatcher":   (*dispatcher).status,
	"evacuations":  (*dispatcher).evacuations,
	"explain":      (*dispatcher).explain,
	"interference": (*dispatcher).interference,
}

// QueryArgs holds a query of an operator.
type QueryArgs struct {
	Name string
	Body []byte
}

// QueryReply holds the answer to a query, or the failure if there is one.
type QueryReply struct {
	Body    []byte
	Failure *operatorapi.Failure
}

// Query answers a query of an operator. The failure has the kind errkind.NoDispatcher unless this node is certainly the only dispatcher.
func (a *AdmissionService) Query(args QueryArgs, reply *QueryReply) (err error) {
	defer netrpc.Recovered(a.log, "Query", &err)
	*reply = a.query(args)
	return nil
}

func (a *AdmissionService) query(args QueryArgs) QueryReply {
	answer, known := operatorQueries[args.Name]
	if !known {
		return failedQuery(errkind.New(errkind.NotFound, "there is no query %q", args.Name))
	}
	d := a.current.Load()
	if d == nil || !d.holdsRole() {
		return failedQuery(errkind.New(errkind.NoDispatcher, "this node doesn't dispatch"))
	}
	v, err := answer(d, args.Body)
	if err != nil {
		return failedQuery(err)
	}
	body, err := json.Marshal(v)
	if err != nil {
		return failedQuery(errkind.Wrap(errkind.Internal, err))
	}
	return QueryReply{Body: body}
}

func failedQuery(err error) QueryReply { return QueryReply{Failure: operatorapi.FailureOf(err)} }

// query answers a query on this node if it dispatches, and otherwise asks the dispatcher.
func (a *admissionClient) query(ctx context.Context, args QueryArgs) QueryReply {
	reply := a.admission.query(args)
	if reply.Failure == nil || reply.Failure.Kind != errkind.NoDispatcher {
		return reply
	}
	link := a.dispatcherLink()
	if link == nil || !link.Usable(time.Now()) {
		return failedQuery(errkind.New(errkind.NoDispatcher, "no dispatcher is known that can be reached"))
	}
	var remote QueryReply
	if err := link.Call(ctx, admissionServiceName+".Query", args, &remote, queryTimeout); err != nil {
		return failedQuery(errkind.New(errkind.NoDispatcher, "the dispatcher didn't answer: %s", err))
	}
	return remote
}

// serveQueries serves operators' queries until ctx ends, if this node listens for operators.
func (n *Node) serveQueries(ctx context.Context, l net.Listener) error {
	if l == nil {
		<-ctx.Done()
		return nil
	}
	return httpserve.Serve(ctx, l, n.queryHandler(), time.Second)
}

// queryHandler answers operators' queries at /v1/jobs/NAME.
func (n *Node) queryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/jobs/{name}", func(w http.ResponseWriter, r *http.Request) {
		reply := n.answerQuery(w, r)
		w.Header().Set("Content-Type", "application/json")
		if reply.Failure != nil {
			events.Log(n.log, events.OperatorRefused, reply.Failure.Kind, reply.Failure.Message)
			w.WriteHeader(errkind.Lookup(reply.Failure.Kind).Status)
			reply.Body, _ = json.Marshal(reply.Failure) // it has only strings and numbers
		}
		_, _ = w.Write(reply.Body) // fails only if the operator has left
	})
	return mux
}

func (n *Node) answerQuery(w http.ResponseWriter, r *http.Request) QueryReply {
	if err := operatorapi.CheckToken(r, n.settings.OperatorTokenSHA256); err != nil {
		return failedQuery(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failedQuery(errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return failedQuery(errkind.Wrap(errkind.BadRequest, err))
	}
	return n.admissionClient.query(r.Context(), QueryArgs{Name: r.PathValue("name"), Body: body})
}

// status describes this dispatcher and the load of each service.
func (d *dispatcher) status([]byte) (any, error) {
	var n dispatch.Counts
	var loads map[string]loadshed.ServiceLoad
	var epoch int64
	d.update(func(c *dispatch.Core) { n, loads, epoch = c.Counts(), c.ServiceLoads(), c.Epoch() })
	s := operatorapi.DispatcherStatus{
		Node: d.node.settings.Name, Epoch: epoch, Runs: n.Runs, Servers: n.Servers, Services: []operatorapi.ServiceStatus{},
		Jobs: operatorapi.JobCounts{LongRunning: n.LongRunning, Started: n.Started, OnTime: n.OnTime, OverShare: n.OverShare, Late: n.Late},
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		l := loads[name]
		s.Services = append(s.Services, operatorapi.ServiceStatus{
			Name: name, Servers: l.Servers, FreeServers: l.FreeServers, Arriving: l.ArrivingServers, BacklogS: l.Backlog.Seconds(), LateS: l.LateBacklog.Seconds(),
		})
	}
	return s, nil
}
