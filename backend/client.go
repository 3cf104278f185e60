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

// defaultMaxAnswerBytes is the default of Options.MaxAnswerBytes.
const defaultMaxAnswerBytes = 4 << 20

// Options configures a Client.
type Options struct {
	// MaxConnsPerServer limits the task connections to one backend server: the server's connections divided by the number of entry VMs.
	MaxConnsPerServer int
	// MaxAnswerBytes is the size of the largest answer that is accepted. It defaults to 4 MiB.
	MaxAnswerBytes int64
	// DialContext replaces the dialer, for tests.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client runs tasks on backend servers.
type Client struct {
	tasks *http.Client
	// control uses separate connections, so that status, lease and stop calls are possible while all task connections are in use.
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
		tasks:     &http.Client{Transport: transport(o, o.MaxConnsPerServer)},
		control:   &http.Client{Transport: transport(o, controlConnsPerServer)},
	}
}

// controlConnsPerServer limits the connections to one server for status, lease, stop and other control calls.
const controlConnsPerServer = 2

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
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Checkpoint is the error of a task that the server checkpointed. The task can be resumed from State.
type Checkpoint struct{ State []byte }

// Error implements error.
func (c *Checkpoint) Error() string { return "the task was checkpointed" }

// Reasons of a refusal that callers handle separately: another boot id, and no free slot.
const (
	ReasonBoot = "boot"
	ReasonBusy = "busy"
)

// ErrBootMismatch is the cause of a refusal by a server that has restarted since its clock was read.
var ErrBootMismatch = errors.New("the server has restarted")

// ErrBusy is the cause of a refusal by a server that has no free slot.
var ErrBusy = errors.New("the server has no free slot")

// attempt records the connection of one attempt to send a task, and whether anything may have been sent on it.
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

// closeConn closes the connection, so that data that arrives on it later is never taken for the answer to another request.
func (a *attempt) closeConn() {
	if conn := a.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// Run runs a task and returns its answer. An error is a *Checkpoint or has one of the kinds BackendRefused (the task did not
// start), BackendFailed, BackendLost, AnswerCorrupt and RequestTimeout.
func (c *Client) Run(ctx context.Context, address string, t Task) ([]byte, error) {
	var a attempt
	req, err := http.NewRequestWithContext(a.trace(ctx), http.MethodPost, "http://"+address+"/v1/tasks", bytes.NewReader(t.Body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendRefused, err)
	}
	setHeaders(req.Header, t)
	resp, err := c.tasks.Do(req)
	if err != nil {
		return nil, sendError(ctx, &a, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderTaskID); got != t.ID {
		a.closeConn()
		return nil, errkind.New(errkind.AnswerCorrupt, "the answer of %s belongs to task %q, not %q", address, got, t.ID)
	}
	body, err := c.readAnswer(resp)
	if err != nil {
		a.closeConn()
		if ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.RequestTimeout, err)
		}
		return nil, errkind.Wrap(errkind.AnswerCorrupt, err)
	}
	return parseResponse(resp, body, address)
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

// sendError returns the error of a failed attempt. Its kind distinguishes an attempt that sent nothing, so that the task certainly did
// not start, from one after which the task may have started.
func sendError(ctx context.Context, a *attempt, err error) error {
	switch {
	case !a.sent.Load():
		return errkind.Wrap(errkind.BackendRefused, err)
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.RequestTimeout, err)
	}
	return errkind.Wrap(errkind.BackendLost, err)
}

// readAnswer returns the body if its length and digest match the headers.
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

// Digest returns the digest of an answer's body in the format of HeaderDigest.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func parseResponse(resp *http.Response, body []byte, address string) ([]byte, error) {
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

// Status fetches a server's status.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	return c.call(ctx, http.MethodGet, address, "/v1/status", nil)
}

// Renew renews the leases of a holder's tasks and returns the server's status.
func (c *Client) Renew(ctx context.Context, address string, r LeaseRequest) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/leases", r)
}

// TaskRequest is the body of a call about one task. It identifies the task's holder.
type TaskRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Stop ends a task. Its Run returns an error of kind BackendFailed.
func (c *Client) Stop(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/stop", TaskRequest{holder, fence})
	return err
}

// Checkpoint requests that a task save its state and end. Its Run returns a *Checkpoint.
func (c *Client) Checkpoint(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/checkpoint", TaskRequest{holder, fence})
	return err
}

// Throttle makes a task run slower for the rest of its run.
func (c *Client) Throttle(ctx context.Context, address, taskID, holder string, fence uint64) error {
	_, err := c.call(ctx, http.MethodPost, address, "/v1/tasks/"+taskID+"/throttle", TaskRequest{holder, fence})
	return err
}

// Usage fetches a server's status with the list of running tasks. The list is delayed.
func (c *Client) Usage(ctx context.Context, address string) (Status, error) {
	return c.call(ctx, http.MethodGet, address, "/v1/status?tasks=true", nil)
}

// PhaseRequest holds the VM's phase epoch for which a drain or its end was decided.
type PhaseRequest struct {
	Epoch uint64 `json:"epoch"`
}

// Drain makes a server refuse new tasks. The server ignores the call if it has seen a later epoch, so a delayed call has no effect.
func (c *Client) Drain(ctx context.Context, address string, epoch uint64) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/drain", PhaseRequest{epoch})
}

// Undrain makes a server accept new tasks again, from holders that have seen the epoch. The server ignores the call if it has seen a
// later epoch.
func (c *Client) Undrain(ctx context.Context, address string, epoch uint64) (Status, error) {
	return c.call(ctx, http.MethodPost, address, "/v1/undrain", PhaseRequest{epoch})
}

// call makes one control call. The answer to each of them is the server's status.
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
