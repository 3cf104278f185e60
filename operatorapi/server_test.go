package operatorapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/foldlog"
	"example.org/comfreyrouter/keys"
)

type barred map[string]bool

func (b barred) Withdraw(id string) { b[id] = true }

func (barred) NodeStatus() NodeStatus { return NodeStatus{VM: "entry-1", Ready: true} }

type rig struct {
	t      *testing.T
	log    *foldlog.Log
	barred barred
	server *Server
}

// newRig returns a server over a fleet at version 1 with two presets, a team, a key and two pools.
func newRig(t *testing.T, token string) *rig {
	r := &rig{t: t, log: foldlog.New(), barred: barred{}}
	r.server = New(Options{Store: r.log.Store, Submitter: r.log, Status: r.barred, KeyWithdrawer: r.barred, TokenSHA256: token, Logger: zerolog.Nop()})
	changes := `[{"preset":{"name":"ordinary","value":{}}}, {"preset":{"name":"peak","value":{}}},
		{"team":{"name":"dalarna","value":{"share":1,"limit":10}}}, {"give_key":{"name":"k1","value":{"team":"dalarna","hash":"` + keys.Hash("secret") + `"}}},
		{"data_centre":{"name":"falun","value":{"max_unavailable":2}}}, {"rack":{"name":"f1","value":{"data_centre":"falun","max_unavailable":2}}},
		{"pool":{"name":"a","value":{"max_unavailable":2}}}, {"pool":{"name":"b","value":{"max_unavailable":2}}},
		{"backend_server":{"name":"vm1","value":{"address":"10.0.0.1:1","data_centre":"falun","rack":"f1","pool":"a","slots":8,"connections":64}}}]`
	if token == "" {
		r.accepted(r.call("POST", "/v1/apply", `{"id":"setup","expect":0,"changes":`+changes+`}`), 1)
	}
	return r
}

func (r *rig) call(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.server.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func (r *rig) accepted(w *httptest.ResponseRecorder, version uint64) {
	r.t.Helper()
	require.Equal(r.t, http.StatusOK, w.Code, w.Body.String())
	require.JSONEq(r.t, string(must(json.Marshal(Accepted{Version: version}))), w.Body.String())
}

func (r *rig) refused(w *httptest.ResponseRecorder, kind errkind.Kind) Failure {
	r.t.Helper()
	var f Failure
	require.NoError(r.t, json.NewDecoder(bytes.NewReader(w.Body.Bytes())).Decode(&f))
	require.Equal(r.t, kind, f.Kind, f.Message)
	require.Equal(r.t, errkind.Lookup(kind).Status, w.Code)
	return f
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against a second operator's change that overwrites the first one's without either of them seeing it.
func TestRacingOperatorsGetOneSuccessAndOneConflict(t *testing.T) {
	r := newRig(t, "")
	var answers [2]*httptest.ResponseRecorder
	var racing sync.WaitGroup
	for i, path := range []string{"/v1/presets/ordinary/use", "/v1/presets/peak/use"} {
		racing.Go(func() { answers[i] = r.call("POST", path, `{"id":"`+path+`","expect":1}`) })
	}
	racing.Wait()
	if answers[0].Code != http.StatusOK {
		answers[0], answers[1] = answers[1], answers[0]
	}
	r.accepted(answers[0], 2)
	f := r.refused(answers[1], errkind.VersionConflict)
	require.EqualValues(t, 2, f.Version)
	require.Contains(t, f.Message, "version 2 is in force")
	f = r.refused(r.call("POST", "/v1/apply", `{"id":"late","expect":0,"changes":[{"in_force":"peak"}]}`), errkind.VersionConflict)
	require.EqualValues(t, 2, f.Version, "a first apply that lost its race is a conflict too")
}

// Guards against a change that takes effect twice because its answer was lost.
func TestRepeatAfterALostAnswerHasOneEffect(t *testing.T) {
	r := newRig(t, "")
	give := `{"id":"give","expect":1,"key_id":"k2","team":"dalarna","hash":"` + keys.Hash("other") + `"}`
	r.log.LoseAnswers(1)
	f := r.refused(r.call("POST", "/v1/keys", give), errkind.LogUnavailable)
	require.Contains(t, f.Message, "the same call may be repeated")
	r.accepted(r.call("POST", "/v1/keys", give), 2)
	require.Len(t, r.log.Store.Config().Keys, 2)

	var list VMList
	require.NoError(t, json.Unmarshal(r.call("GET", "/v1/vms", "").Body.Bytes(), &list))
	move := string(must(json.Marshal(StartMove{VM: "vm1", To: "b", Epoch: list.VMs[0].VM.Epoch, Layout: list.Layout})))
	r.log.LoseAnswers(1)
	r.refused(r.call("POST", "/v1/moves", move), errkind.LogUnavailable)
	r.accepted(r.call("POST", "/v1/moves", move), 2)
	abandon := string(must(json.Marshal(AbandonMove{Epoch: list.VMs[0].VM.Epoch + 1, Pool: "a"})))
	r.accepted(r.call("POST", "/v1/moves/vm1/abandon", abandon), 2)
	r.accepted(r.call("POST", "/v1/moves/vm1/abandon", abandon), 2)
	r.refused(r.call("POST", "/v1/moves", move), errkind.VersionConflict)
}

// Guards against a withdrawn key that goes on working on this VM while the log is down.
func TestWithdrawalTakesEffectHereWithoutTheLog(t *testing.T) {
	r := newRig(t, "")
	r.log.SetDown(true)
	r.log.OnSubmit(func() { require.True(t, r.barred["k1"], "the key is barred before the log is asked") })
	r.refused(r.call("POST", "/v1/keys/k1/withdraw", `{"id":"w"}`), errkind.LogUnavailable)
	r.log.OnSubmit(nil)
	r.refused(r.call("POST", "/v1/keys/newer/withdraw", `{"id":"n"}`), errkind.LogUnavailable)
	require.True(t, r.barred["newer"], "a key that this VM may not have read yet is barred too")
	r.log.SetDown(false)
	r.refused(r.call("POST", "/v1/keys/typo/withdraw", `{"id":"t"}`), errkind.NotFound)
	require.False(t, r.barred["typo"], "an id that the log does not know is not barred")
	r.accepted(r.call("POST", "/v1/keys/k1/withdraw", `{"id":"w"}`), 2)
	require.True(t, r.log.Store.Config().Keys["k1"].Withdrawn)
}

// Guards against hashes of keys at the operators' interface, and against bodies whose faults pass unnoticed.
func TestReadsHideHashesAndBadBodiesAreRefused(t *testing.T) {
	r := newRig(t, "")
	for _, path := range []string{"/v1/config", "/v1/keys", "/v1/status"} {
		require.NotContains(t, r.call("GET", path, "").Body.String(), keys.Hash("secret"))
	}
	for _, body := range []string{`{"id":"x","expct":1}`, `{"id":"x"}`, `{"expect":1}`, `{"id":"x","expect":1} {}`} {
		r.refused(r.call("POST", "/v1/presets/peak/use", body), errkind.BadRequest)
	}
	r.refused(r.call("PUT", "/v1/teams/dalrana", `{"id":"x","expect":1,"team":{"share":1,"limit":1}}`), errkind.NotFound)
	r.refused(r.call("PUT", "/v1/teams/dalarna", `{"id":"x","expect":1,"team":{"share":-1,"limit":1}}`), errkind.InvalidConfig)
	r.refused(r.call("GET", "/v1/nothing", ""), errkind.NotFound)
}

// Guards against changes by callers without the operators' token.
func TestTokenIsRequired(t *testing.T) {
	r := newRig(t, keys.Hash("token"))
	r.refused(r.call("GET", "/v1/presets", ""), errkind.Unauthorized)
	request := httptest.NewRequest("GET", "/v1/presets", nil)
	request.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	r.server.ServeHTTP(w, request)
	require.Equal(t, http.StatusOK, w.Code)
}

// Guards against waves that are started anew by a stale plan.
func TestWaveStates(t *testing.T) {
	r := newRig(t, "")
	r.accepted(r.call("POST", "/v1/waves", `{"name":"w1","pools":["a"]}`), 1)
	r.refused(r.call("POST", "/v1/waves/w1/pause", ``), errkind.VersionConflict)
	r.accepted(r.call("POST", "/v1/waves/w1/start", ``), 1)
	r.refused(r.call("POST", "/v1/waves", `{"name":"w1","pools":["a"]}`), errkind.VersionConflict)
	r.refused(r.call("POST", "/v1/waves/w2/start", ``), errkind.NotFound)
	require.Contains(t, r.call("GET", "/v1/waves", "").Body.String(), `"state":"running"`)
}
