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

// fakeNode implements StatusSource and KeyWithdrawer, and records the ids of the keys withdrawn on this VM.
type fakeNode map[string]bool

func (n fakeNode) Withdraw(id string) { n[id] = true }

func (fakeNode) NodeStatus() NodeStatus { return NodeStatus{VM: "entry-1", Ready: true} }

type fixture struct {
	t      *testing.T
	log    *foldlog.Log
	node   fakeNode
	server *Server
}

// newFixture returns a server over a fleet at version 1 with two presets, a team, a key and two pools.
func newFixture(t *testing.T, token string) *fixture {
	f := &fixture{t: t, log: foldlog.New(), node: fakeNode{}}
	f.server = New(Options{Store: f.log.Store, Submitter: f.log, Status: f.node, KeyWithdrawer: f.node, TokenSHA256: token, Logger: zerolog.Nop()})
	changes := `[{"preset":{"name":"ordinary","value":{}}}, {"preset":{"name":"peak","value":{}}},
		{"team":{"name":"dalarna","value":{"share":1,"limit":10}}}, {"give_key":{"name":"k1","value":{"team":"dalarna","hash":"` + keys.Hash("secret") + `"}}},
		{"data_centre":{"name":"falun","value":{"max_unavailable":2}}}, {"rack":{"name":"f1","value":{"data_centre":"falun","max_unavailable":2}}},
		{"pool":{"name":"a","value":{"max_unavailable":2}}}, {"pool":{"name":"b","value":{"max_unavailable":2}}},
		{"backend_server":{"name":"vm1","value":{"address":"10.0.0.1:1","data_centre":"falun","rack":"f1","pool":"a","slots":8,"connections":64}}}]`
	if token == "" {
		f.accepted(f.call("POST", "/v1/apply", `{"id":"setup","expect":0,"changes":`+changes+`}`), 1)
	}
	return f
}

func (f *fixture) call(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func (f *fixture) accepted(w *httptest.ResponseRecorder, version uint64) {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, w.Code, w.Body.String())
	require.JSONEq(f.t, string(must(json.Marshal(Accepted{Version: version}))), w.Body.String())
}

func (f *fixture) refused(w *httptest.ResponseRecorder, kind errkind.Kind) Failure {
	f.t.Helper()
	var failure Failure
	require.NoError(f.t, json.NewDecoder(bytes.NewReader(w.Body.Bytes())).Decode(&failure))
	require.Equal(f.t, kind, failure.Kind, failure.Message)
	require.Equal(f.t, errkind.Lookup(kind).Status, w.Code)
	return failure
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// TestRacingOperatorsGetOneSuccessAndOneConflict guards against concurrent changes of two operators in which one silently overwrites the
// other.
func TestRacingOperatorsGetOneSuccessAndOneConflict(t *testing.T) {
	f := newFixture(t, "")
	var answers [2]*httptest.ResponseRecorder
	var racing sync.WaitGroup
	for i, path := range []string{"/v1/presets/ordinary/use", "/v1/presets/peak/use"} {
		racing.Go(func() { answers[i] = f.call("POST", path, `{"id":"`+path+`","expect":1}`) })
	}
	racing.Wait()
	if answers[0].Code != http.StatusOK {
		answers[0], answers[1] = answers[1], answers[0]
	}
	f.accepted(answers[0], 2)
	failure := f.refused(answers[1], errkind.VersionConflict)
	require.EqualValues(t, 2, failure.Version)
	require.Contains(t, failure.Message, "version 2 is in force")
	failure = f.refused(f.call("POST", "/v1/apply", `{"id":"late","expect":0,"changes":[{"in_force":"peak"}]}`), errkind.VersionConflict)
	require.EqualValues(t, 2, failure.Version, "a first apply that lost its race is a conflict too")
}

// TestRepeatAfterALostAnswerHasOneEffect guards against a change that takes effect twice because its response was lost and the call
// repeated.
func TestRepeatAfterALostAnswerHasOneEffect(t *testing.T) {
	f := newFixture(t, "")
	give := `{"id":"give","expect":1,"key_id":"k2","team":"dalarna","hash":"` + keys.Hash("other") + `"}`
	f.log.LoseAnswers(1)
	failure := f.refused(f.call("POST", "/v1/keys", give), errkind.LogUnavailable)
	require.Contains(t, failure.Message, "the same call may be repeated")
	f.accepted(f.call("POST", "/v1/keys", give), 2)
	require.Len(t, f.log.Store.Config().Keys, 2)

	var list VMList
	require.NoError(t, json.Unmarshal(f.call("GET", "/v1/vms", "").Body.Bytes(), &list))
	move := string(must(json.Marshal(StartMove{VM: "vm1", To: "b", Epoch: list.VMs[0].VM.Epoch, Layout: list.Layout})))
	f.log.LoseAnswers(1)
	f.refused(f.call("POST", "/v1/moves", move), errkind.LogUnavailable)
	f.accepted(f.call("POST", "/v1/moves", move), 2)
	abandon := string(must(json.Marshal(AbandonMove{Epoch: list.VMs[0].VM.Epoch + 1, Pool: "a"})))
	f.accepted(f.call("POST", "/v1/moves/vm1/abandon", abandon), 2)
	f.accepted(f.call("POST", "/v1/moves/vm1/abandon", abandon), 2)
	f.refused(f.call("POST", "/v1/moves", move), errkind.VersionConflict)
}

// TestWithdrawalTakesEffectHereWithoutTheLog guards against a withdrawn key that remains valid on this VM while the log is unavailable.
func TestWithdrawalTakesEffectHereWithoutTheLog(t *testing.T) {
	f := newFixture(t, "")
	f.log.SetDown(true)
	f.log.OnSubmit(func() { require.True(t, f.node["k1"], "the key is withdrawn locally before the command is submitted") })
	f.refused(f.call("POST", "/v1/keys/k1/withdraw", `{"id":"w"}`), errkind.LogUnavailable)
	f.log.OnSubmit(nil)
	f.refused(f.call("POST", "/v1/keys/newer/withdraw", `{"id":"n"}`), errkind.LogUnavailable)
	require.True(t, f.node["newer"], "a key that this VM may not have read yet is withdrawn locally too")
	f.log.SetDown(false)
	f.refused(f.call("POST", "/v1/keys/typo/withdraw", `{"id":"t"}`), errkind.NotFound)
	require.False(t, f.node["typo"], "an id unknown to the log is not withdrawn locally")
	f.accepted(f.call("POST", "/v1/keys/k1/withdraw", `{"id":"w"}`), 2)
	require.True(t, f.log.Store.Config().Keys["k1"].Withdrawn)
}

// TestReadsHideHashesAndBadBodiesAreRefused guards against key hashes in responses to operators, and against malformed bodies that are
// accepted.
func TestReadsHideHashesAndBadBodiesAreRefused(t *testing.T) {
	f := newFixture(t, "")
	for _, path := range []string{"/v1/config", "/v1/keys", "/v1/status"} {
		require.NotContains(t, f.call("GET", path, "").Body.String(), keys.Hash("secret"))
	}
	for _, body := range []string{`{"id":"x","expct":1}`, `{"id":"x"}`, `{"expect":1}`, `{"id":"x","expect":1} {}`} {
		f.refused(f.call("POST", "/v1/presets/peak/use", body), errkind.BadRequest)
	}
	f.refused(f.call("PUT", "/v1/teams/dalrana", `{"id":"x","expect":1,"team":{"share":1,"limit":1}}`), errkind.NotFound)
	f.refused(f.call("PUT", "/v1/teams/dalarna", `{"id":"x","expect":1,"team":{"share":-1,"limit":1}}`), errkind.InvalidConfig)
	f.refused(f.call("GET", "/v1/nothing", ""), errkind.NotFound)
}

// TestTokenIsRequired guards against calls that are accepted without the operators' token.
func TestTokenIsRequired(t *testing.T) {
	f := newFixture(t, keys.Hash("token"))
	f.refused(f.call("GET", "/v1/presets", ""), errkind.Unauthorized)
	request := httptest.NewRequest("GET", "/v1/presets", nil)
	request.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, request)
	require.Equal(t, http.StatusOK, w.Code)
}

// TestWaveStates guards against a repeated or stale plan that restarts a wave, and against state changes that are not allowed.
func TestWaveStates(t *testing.T) {
	f := newFixture(t, "")
	f.accepted(f.call("POST", "/v1/waves", `{"name":"w1","pools":["a"]}`), 1)
	f.refused(f.call("POST", "/v1/waves/w1/pause", ``), errkind.VersionConflict)
	f.accepted(f.call("POST", "/v1/waves/w1/start", ``), 1)
	f.refused(f.call("POST", "/v1/waves", `{"name":"w1","pools":["a"]}`), errkind.VersionConflict)
	f.refused(f.call("POST", "/v1/waves/w2/start", ``), errkind.NotFound)
	require.Contains(t, f.call("GET", "/v1/waves", "").Body.String(), `"state":"running"`)
}
