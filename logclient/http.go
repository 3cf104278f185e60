package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"example.org/comfreyrouter/errkind"
)

// Headers that identify the caller to the platform.
const (
	HeaderCaller     = "Comfrey-Caller"
	HeaderDataCentre = "Comfrey-Data-Centre"
)

// maxAnswerBytes limits the size of an answer of the platform. The largest one is a page of records in JSON.
const maxAnswerBytes = 64 << 20

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving" // is being removed, but may still answer
	VMGone    VMState = "gone"    // no longer exists
)

// VM is an entry of the platform's list of VMs, which is updated with a delay.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// AppendReply is the platform's answer to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// PlatformClient is the interface of the platform that the system uses.
type PlatformClient interface {
	Log
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
	// Reboot requests a reboot of a VM, which the caller has drained. The platform executes each key once, so a repeated or
	// delayed call does not reboot a VM that is serving again.
	Reboot(ctx context.Context, name, key string) error
}

// HTTPOptions configures an HTTPClient.
type HTTPOptions struct {
	// BaseURL is the platform's address, such as http://10.0.0.1:7000.
	BaseURL string
	// Caller is the VM's name and DataCentre its data centre.
	Caller     string
	DataCentre string
	// Client defaults to a new client. Calls are limited by their contexts only.
	Client *http.Client
}

// HTTPClient accesses the platform over HTTP.
type HTTPClient struct{ options HTTPOptions }

var _ PlatformClient = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the platform.
func NewHTTPClient(o HTTPOptions) *HTTPClient {
	if o.Client == nil {
		o.Client = &http.Client{}
	}
	o.BaseURL = strings.TrimSuffix(o.BaseURL, "/")
	return &HTTPClient{options: o}
}

// Append appends a record to the log.
func (h *HTTPClient) Append(ctx context.Context, data []byte) (uint64, error) {
	var reply AppendReply
	if err := h.call(ctx, http.MethodPost, "/v1/log/append", data, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read reads a page of the log.
func (h *HTTPClient) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	if err := h.call(ctx, http.MethodGet, "/v1/log/read?"+query.Encode(), nil, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

// VMs returns the platform's list of VMs.
func (h *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	var list []VM
	if err := h.call(ctx, http.MethodGet, "/v1/vms", nil, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// Reboot requests a reboot of a VM. The platform executes each key once.
func (h *HTTPClient) Reboot(ctx context.Context, name, key string) error {
	return h.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(name)+"/reboot?key="+url.QueryEscape(key), nil, nil)
}

// call sends a request and decodes the answer into reply unless that is nil. All errors have the kind log_unavailable.
func (h *HTTPClient) call(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, h.options.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(errkind.LogUnavailable, err)
	}
	request.Header.Set(HeaderCaller, h.options.Caller)
	request.Header.Set(HeaderDataCentre, h.options.DataCentre)
	// Without GetBody the HTTP library never retries an append: the writer decides about retries.
	request.GetBody = nil
	response, err := h.options.Client.Do(request)
	if err != nil {
		return errkind.Wrap(errkind.LogUnavailable, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return errkind.Wrap(errkind.LogUnavailable, err)
	}
	if len(answer) > maxAnswerBytes {
		return errkind.New(errkind.LogUnavailable, "the platform's answer to %s is over %d bytes", path, maxAnswerBytes)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errkind.New(errkind.LogUnavailable, "the platform answered %s: %s", response.Status, bytes.TrimSpace(answer))
	}
	if reply == nil {
		return nil
	}
	return errkind.Wrap(errkind.LogUnavailable, json.Unmarshal(answer, reply))
}
