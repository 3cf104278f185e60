package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/comfreyrouter/errkind"
)

// defaultMaxAnswerBytes is the largest answer that is taken from a backend server unless Options say otherwise, in bytes.
const defaultMaxAnswerBytes = 4 << 20

// Options are the settings of a Client.
type Options struct {
	// MaxConnsPerServer bounds the connections to one backend server: its connections divided by the entry VMs.
	MaxConnsPerServer int
	// MaxAnswerBytes is the largest answer that is taken, in bytes; 0 stands for 4 MiB.
	MaxAnswerBytes int64
	// DialContext replaces the dialer, for tests.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client runs tasks on backend servers.
type Client struct {
	http *http.Client
	// control has connections of its own, so that status, leases and stops get through while all task connections are in use.
	control   *http.Client
	maxAnswer int64
}

// idleTimeout is how long an unused connection is kept open.
const idleTimeout = 30 * time.Second

// New returns a client.
func New(o Options) *Client {
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return &Client{
		maxAnswer: o.MaxAnswerBytes,
		http:      &http.Client{Transport: transport(o, o.MaxConnsPerServer)},
		control:   &http.Client{Transport: transport(o, controlConns)},
	}
}

// controlConns is the number of connections to one server for status, leases and stops.
const controlConns = 2

func transport(o Options, conns int) *http.Transport {
	return &http.Transport{
		DialContext:         o.DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Checkpoint is the error of a task that the server checkpointed. Its State resumes the task.
type Checkpoint struct{ State []byte }

// Error implements error.
func (c *Checkpoint) Error() string { return "the task was checkpointed" }

// Reasons of a refusal to which the engine has an answer of its own: another boot id, and no free slot.
const (
	ReasonBoot = "boot"
	ReasonBusy = "busy"
)

// ErrBootMismatch is the cause of a refusal by a server that has restarted since its clock was read.
var ErrBootMismatch = errors.New("the server has restarted")

// ErrBusy is the cause of a refusal by a server without a free slot.
var ErrBusy = errors.New("the server has no free slot")

// attempt notes what is known of one attempt to send a task.
type attempt struct {
	conn atomic.Pointer[net.Conn]
	sent atomic.Bool
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.conn.Store(&info.Conn)
			a.sent.Store(true)
		},
	})
}

// discard closes the connection, so that what else may arrive on it never reaches another request.
func (a *attempt) discard() {
	if conn := a.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// Run runs a task and returns its answer. An error has one of the kinds BackendRefused (the task did not start), BackendFailed,
// BackendLost, AnswerCorrupt or RequestTimeout, or is a *Checkpoint.
func (c *Client) Run(ctx context.Context, address string, t Task) ([]byte, error) {
	var a attempt
	req, err := http.NewRequestWithContext(a.trace(ctx), http.MethodPost, "http://"+address+"/v1/tasks", bytes.NewReader(t.Body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendRefused, err)
	}
	setHeaders(req.Header, t)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, &a, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderTaskID); got != t.ID {
		a.discard()
		return nil, errkind.New(errkind.AnswerCorrupt, "the answer of %s belongs to task %q, not %q", address, got, t.ID)
	}
	body, err := c.readAnswer(resp)
	if err != nil {
		a.discard()
		if ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.RequestTimeout, err)
		}
		return nil, errkind.Wrap(errkind.AnswerCorrupt, err)
	}
	return interpret(resp, body, address)
}

func setHeaders(h http.Header, t Task) {
	h.Set(HeaderTaskID, t.ID)
	h.Set(HeaderQueue, t.Queue)
	h.Set(HeaderTeam, t.Team)
	h.Set(HeaderClass, string(t.Class))
	h.Set(HeaderHolder, t.Holder)
	h.Set(HeaderFence, strconv.FormatUint(t.Fence, 10))
	h.Set(HeaderPoolEpoch, strconv.FormatUint(t.PoolEpoch, 10))
	h.Set(HeaderLeaseUntil, strconv.FormatInt(t.LeaseUntil, 10))
	h.Set(HeaderStartUntil, strconv.FormatInt(t.StartUntil, 10))
	h.Set(HeaderBootID, t.BootID)
	if t.Resume {
		h.Set(HeaderResume, "true")
	}
}

// sendError tells an attempt that sent nothing, which certainly did not start, from one that may have started.
func sendError(ctx context.Context, a *attempt, err error) error {
	switch {
	case !a.sent.Load():
		return errkind.Wrap(errkind.BackendRefused, err)
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.RequestTimeout, err)
	}
	return errkind.Wrap(errkind.BackendLost, err)
}

// readAnswer returns the body if it has its announced length and digest.
func (c *Client) readAnswer(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > c.maxAnswer {
		return nil, fmt.Errorf("the answer has a length of %d bytes", resp.ContentLength)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, fmt.Errorf("the answer is truncated: %w", err)
	}
	if want := resp.Header.Get(HeaderDigest); want != Digest(body) {
		return nil, fmt.Errorf("the answer has digest %s, announced was %q", Digest(body), want)
	}
	return body, nil
}

// Digest returns the digest of an answer's body as it stands in HeaderDigest.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func interpret(resp *http.Response, body []byte, address string) ([]byte, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return body, nil
	case resp.StatusCode == http.StatusAccepted:
		return nil, &Checkpoint{State: body}
	case resp.Header.Get(HeaderStarted) == "false" && resp.Header.Get(HeaderReason) == ReasonBoot:
		return nil, errkind.Wrap(errkind.BackendRefused, fmt.Errorf("%s: %w", address, ErrBootMismatch))
	case resp.Header.Get(HeaderStarted) == "false" && resp.Header.Get(HeaderReason) == ReasonBusy:
		return nil, errkind.Wrap(errkind.BackendRefused, fmt.Errorf("%s: %w", address, ErrBusy))
	case resp.Header.Get(HeaderStarted) == "false":
		return nil, errkind.New(errkind.BackendRefused, "%s refused: %s", address, resp.Header.Get(HeaderReason))
	}
	return nil, errkind.New(errkind.BackendFailed, "%s answered %d: %s", address, resp.StatusCode, resp.Header.Get(HeaderReason))
}

// Status asks a server for its state.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return c.call(ctx, http.MethodGet, address, "/v1/status", nil)
}

// Renew renews the leases of a holder's tasks and returns the server's state.
func (c *Client) Renew(ctx context.Context, address string, r LeaseRequest) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/leases", r)
}

// TaskRequest names a task and its holder.
type TaskRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Stop ends a task. Its Run returns an error of kind BackendFailed.
func (c *Client) Stop(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/stop", TaskRequest{holder, fence})
	return err
}

// Checkpoint asks a task to save its state and end. Its Run returns a *Checkpoint.
func (c *Client) Checkpoint(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/checkpoint", TaskRequest{holder, fence})
	return err
}

// Throttle makes a task run slower from now on.
func (c *Client) Throttle(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/throttle", TaskRequest{holder, fence})
	return err
}

// Usage asks a server for its state with the list of running tasks. The list lags.
func (c *Client) Usage(ctx context.Context, address string) (Status, error) {
	return c.call(ctx, http.MethodGet, address, "/v1/status?tasks=true", nil)
}

// PhaseRequest carries the phase epoch of the VM for which a drain or its end was decided.
type PhaseRequest struct {
	Epoch uint64 `json:"epoch"`
}

// Drain tells a server to refuse new tasks. The server ignores it if it has seen a later epoch, so a delayed call has no effect.
func (c *Client) Drain(ctx context.Context, address string, epoch uint64) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/drain", PhaseRequest{epoch})
}

// Undrain tells a server to take new tasks again, from holders that have seen the epoch. The server ignores it if it has seen a later one.
func (c *Client) Undrain(ctx context.Context, address string, epoch uint64) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/undrain", PhaseRequest{epoch})
}

// call makes one control call. All of them answer with the server's status.
func (c *Client) call(ctx context.Context, method, address, path string, in any) (Status, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Status{}, errkind.Wrap(errkind.Internal, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Status{}, errkind.Wrap(errkind.Internal, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.control.Do(req)
	if err != nil {
		return Status{}, errkind.Wrap(errkind.BackendLost, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, errkind.Wrap(errkind.BackendRefused, errors.New(resp.Status))
	}
	var out Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxAnswer)).Decode(&out); err != nil {
		return Status{}, errkind.Wrap(errkind.AnswerCorrupt, err)
	}
	return out, nil
}
