package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/operatorapi"
)

const (
	// dialTimeout is short, because the next server is tried as soon as one does not accept the connection.
	dialTimeout = 2 * time.Second
	// attemptTimeout is longer than an entry VM's own wait for the log, so that the VM can use all of that wait.
	attemptTimeout = operatorapi.DefaultSubmitTimeout + 2*time.Second
	// readTimeout is shorter, because an entry VM answers a read from memory. If the first server hangs, the next one is tried soon.
	readTimeout = 3 * time.Second
	// retryInterval is the wait between two rounds over all servers, after a round without a final answer.
	retryInterval = 250 * time.Millisecond
)

// Client calls the operators' HTTP interface. It tries its servers in order until one gives a final answer.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client for a comma-separated list of addresses, each an IP address and a port. If token is empty, no token is sent.
func NewClient(servers, token string) (*Client, error) {
	c := &Client{token: token}
	for address := range strings.SplitSeq(servers, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageErrorf("-server: %q is not an IP number and a port", address)
		}
		c.servers = append(c.servers, address)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	return c, nil
}

// Call sends one call and decodes the answer into the value that into points to. While no server gives a final answer, the same
// call with the same id is repeated until ctx ends, so body must be safe to repeat. A refusal is returned as *operatorapi.Failure.
func (c *Client) Call(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err)
	}
	var last error
	for {
		for _, server := range c.servers {
			final, err := c.attempt(ctx, server, method, path, data, into)
			if final {
				return err
			}
			last = preferEarlierError(ctx, last, err)
		}
		if !sleep(ctx, retryInterval) {
			return noAnswerError(method, last)
		}
	}
}

// preferEarlierError returns the last error from before ctx ended, if there is one: a later one only says that ctx ended.
func preferEarlierError(ctx context.Context, last, err error) error {
	if last != nil && ctx.Err() != nil {
		return last
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func noAnswerError(method string, last error) error {
	if method == http.MethodGet {
		return errkind.New(errkind.LogUnavailable, "no entry VM answered: %s", last)
	}
	return errkind.New(errkind.LogUnavailable, "no entry VM confirmed the change, so it is not known whether it is in force; "+
		"look before you repeat the command: %s", last)
}

// attempt calls one server. It reports whether the outcome is final; otherwise another attempt may succeed.
func (c *Client) attempt(ctx context.Context, server, method, path string, data []byte, into any) (bool, error) {
	timeout := attemptTimeout
	if method == http.MethodGet {
		timeout = readTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(data))
	if err != nil {
		return true, errkind.Wrap(errkind.Internal, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readFailure(server, response)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return false, fmt.Errorf("%s: the answer broke off: %w", server, err)
	}
	return true, nil
}

// readFailure decodes the failure in a response. Unavailability and unreadable responses are not final: another server may succeed.
func readFailure(server string, response *http.Response) (bool, error) {
	failure := &operatorapi.Failure{}
	if err := json.NewDecoder(response.Body).Decode(failure); err != nil {
		return false, fmt.Errorf("%s: status %d without a readable reason", server, response.StatusCode)
	}
	return response.StatusCode != http.StatusServiceUnavailable, failure
}

// exitCode maps an error to the exit code of the command.
func exitCode(err error) int {
	var usage *usageError
	var failure *operatorapi.Failure
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &failure) && failure.Kind == errkind.VersionConflict:
		return ExitConflict
	}
	return ExitError
}
