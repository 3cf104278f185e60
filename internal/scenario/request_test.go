package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/comfreyrouter/callerapi"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

// order is a request as a script or the load sends it.
type order struct {
	name, queue, team, id string
	once                  bool // not repeatable
	run, deadline         int  // in milliseconds
}

// answer is the answer to a caller. It has outcome broken if the request failed without a complete response.
type answer struct {
	outcome, kind, detail string
}

const broken = "broken"

// text returns the answer as scripts compare it, such as done or unknown/claimed_elsewhere.
func (a answer) text() string {
	if a.kind == "" {
		return a.outcome
	}
	return a.outcome + "/" + a.kind
}

func (o order) body() []byte {
	body, err := json.Marshal(backendserver.SleepTask{Order: o.name, RunMillis: o.run})
	if err != nil {
		panic(err) // can't happen: a struct of strings and numbers
	}
	return body
}

// send sends an order and checks that the answer to a done one has the order's own body.
func send(client *http.Client, address, key string, o order) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/requests/"+o.queue, bytes.NewReader(o.body()))
	if err != nil {
		return answer{outcome: broken, detail: err.Error()}
	}
	if key != "" {
		req.Header.Set(callerapi.HeaderKey, key)
	}
	if o.id != "" {
		req.Header.Set(callerapi.HeaderRequestID, o.id)
	}
	req.Header.Set(callerapi.HeaderRepeatable, strconv.FormatBool(!o.once))
	req.Header.Set(callerapi.HeaderDeadline, strconv.Itoa(o.deadline))
	resp, err := client.Do(req)
	if err != nil {
		return answer{outcome: broken, detail: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{outcome: broken, detail: err.Error()}
	}
	a := answer{outcome: resp.Header.Get(callerapi.HeaderOutcome), kind: resp.Header.Get(callerapi.HeaderErrorKind), detail: string(body)}
	if a.text() == string(errkind.Done) && !bytes.Equal(body, o.body()) {
		a.outcome = "wrong-body"
	}
	return a
}

// get returns the body of a URL, or the error as text.
func get(url string) string {
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return resp.Status + "\n" + string(body)
}

// options splits the words of a command into plain words and options: KEY=VALUE, or one of the switches without a value.
func options(words []string, switches ...string) (plain []string, opts map[string]string) {
	opts = map[string]string{}
	for _, w := range words {
		key, value, ok := strings.Cut(w, "=")
		for _, s := range switches {
			ok = ok || s == w
		}
		if ok {
			opts[key] = value
			continue
		}
		plain = append(plain, w)
	}
	return plain, opts
}
