package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/httpserve"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/internal/standin/taskserver"
	"example.org/comfreyrouter/jobnode"
	"example.org/comfreyrouter/platform"
)

const (
	jobServers      = 2
	jobTaskTime     = 100 * time.Millisecond
	jobTimeout      = 20 * time.Second
	jobPollInterval = 50 * time.Millisecond
	jobHost         = "jobs.example"
	jobPath         = "/sheets/00000000000000a1"
	// jobBody is a job of two steps: three tasks, and then one task that depends on them.
	jobBody = `{"spec":"cut","pipeline":[{"count":3,"cpu":1000,"mem_mb":64,"estimate_ms":100},{"count":1,"cpu":500,"mem_mb":32,"after":[0]}]}`
)

// RunJob runs a job of two steps on one job node, with stand-ins for the store and the backend servers, and prints how many tasks each server ran.
func RunJob(ctx context.Context, out io.Writer, logger zerolog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	store := keyedstore.New()
	address, err := serveLocal(ctx, group, store)
	if err != nil {
		return err
	}
	var servers []*taskserver.Server
	for i := range jobServers {
		s := taskserver.New(fmt.Sprintf("server-%d", i+1), jobTaskTime)
		addr, err := serveLocal(ctx, group, s)
		if err != nil {
			return err
		}
		store.Put(platform.TopicServers, s.ID, s.Registration("saws", addr.String()))
		servers = append(servers, s)
	}
	store.Put(platform.TopicOperators, platform.KeyConfiguration, jobConfiguration())
	callerAddress := make(chan string, 1)
	group.Go(func() error {
		return jobnode.Run(ctx, jobnode.Options{Settings: jobSettings(address), Logger: logger, OnListening: func(a, _ string) { callerAddress <- a }})
	})
	select {
	case addr := <-callerAddress:
		err = awaitJob(ctx, "http://"+addr+jobPath)
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	for _, s := range servers {
		fmt.Fprintf(out, "%s ran %d tasks of the job with two steps\n", s.ID, len(s.Starts()))
	}
	cancel()
	return errors.Join(err, group.Wait())
}

func jobSettings(store netip.AddrPort) jobnode.Settings {
	s := jobnode.DefaultSettings()
	s.Name, s.DataCentre, s.StoreAddress = "dev", "dev", store
	s.CallerAddress, s.ReadyAddress = netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	return s
}

func jobConfiguration() []byte {
	data, _ := json.Marshal(map[string]any{ // maps and lists of plain values always encode
		"version":  1,
		"routes":   []map[string]any{{"name": "sheets", "host": jobHost, "path_prefix": "/sheets/", "service": "saws", "max_attempts": 3, "public": true}},
		"services": []map[string]any{{"name": "saws"}},
	})
	return data
}

// serveLocal serves a stand-in on a free loopback port until ctx ends, and returns its address.
func serveLocal(ctx context.Context, group *errgroup.Group, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	group.Go(func() error { return httpserve.Serve(ctx, l, h, time.Second) })
	return netip.ParseAddrPort(l.Addr().String())
}

// awaitJob submits the job, again until it is accepted, and polls its state until it is complete.
func awaitJob(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for accepted := false; ; {
		method, body := http.MethodGet, ""
		if !accepted {
			method, body = http.MethodPost, jobBody
		}
		status, answer, err := sendJobRequest(ctx, method, url, body)
		switch {
		case err != nil:
			return errkind.Wrap(errkind.Internal, err)
		case strings.Contains(answer, "complete"):
			return nil
		case status == http.StatusOK:
			accepted = true
		}
		time.Sleep(jobPollInterval)
	}
}

func sendJobRequest(ctx context.Context, method, url, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	req.Host = jobHost
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), errors.Join(err, resp.Body.Close())
}
