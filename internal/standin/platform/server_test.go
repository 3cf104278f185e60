package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/logclient"
)

func setFaults(t *testing.T, server *platform.Server, f platform.Faults) {
	body, err := json.Marshal(f)
	require.NoError(t, err)
	response, err := http.Post(server.URL()+"/v1/faults", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestHTTP guards against a client and a stand-in that disagree on the protocol, and against faults that don't reach the client.
func TestHTTP(t *testing.T) {
	core := platform.NewCore(platform.Options{KeepRecords: 2})
	server, err := platform.Listen("127.0.0.1:0", core)
	require.NoError(t, err)
	defer server.Close()
	ctx := t.Context()
	client := logclient.NewHTTPClient(logclient.HTTPOptions{BaseURL: server.URL(), Caller: "e1", DataCentre: "d1"})
	for want := range uint64(3) {
		offset, err := client.Append(ctx, []byte{byte(want)})
		require.NoError(t, err)
		require.Equal(t, want+1, offset)
	}
	kept := []logclient.Record{{Offset: 2, Data: []byte{1}}, {Offset: 3, Data: []byte{2}}}
	page, err := client.Read(ctx, 1, 10, time.Minute)
	require.NoError(t, err)
	require.Equal(t, logclient.Page{First: 2, Next: 4, Records: kept}, page)

	rebooted := ""
	core.SetReboot(func(_ context.Context, name string) error { rebooted = name; return nil })
	core.SetVM(logclient.VM{Name: "s1", Address: "10.0.0.1:1", State: logclient.VMLive})
	core.SetListLag(time.Hour)
	list, err := client.VMs(ctx)
	require.NoError(t, err)
	require.Empty(t, list, "the list shows a new VM only after the lag")
	core.SetListLag(0)
	list, err = client.VMs(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.NoError(t, client.Reboot(ctx, "s1", "key"))
	require.Equal(t, "s1", rebooted)
	require.Error(t, client.Reboot(ctx, "s2", "key"))

	setFaults(t, server, platform.Faults{LoseAnswers: 1})
	_, err = client.Append(ctx, []byte("lost"))
	require.Equal(t, errkind.LogUnavailable, errkind.Of(err))
	page, err = client.Read(ctx, 4, 10, time.Minute)
	require.NoError(t, err)
	require.Equal(t, []byte("lost"), page.Records[0].Data)
	setFaults(t, server, platform.Faults{Outage: true})
	_, err = client.Read(ctx, 1, 10, 0)
	require.Equal(t, errkind.LogUnavailable, errkind.Of(err))
	setFaults(t, server, platform.Faults{Cut: []string{"d1"}})
	otherCaller := logclient.NewHTTPClient(logclient.HTTPOptions{BaseURL: server.URL(), Caller: "e2", DataCentre: "d2"})
	_, err = otherCaller.Read(ctx, 1, 10, 0)
	require.NoError(t, err)
	callCtx, cancel := context.WithCancel(ctx)
	result := make(chan error, 1)
	go func() {
		_, err := client.Read(callCtx, 1, 10, 0)
		result <- err
	}()
	cancel()
	require.Equal(t, errkind.LogUnavailable, errkind.Of(<-result))
}
