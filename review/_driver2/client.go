package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 3 * time.Second

// answer is the answer to a call; status 0 means that there was none in time.
type answer struct {
	status  int
	state   string
	pending int
	body    string
}

// call calls a gateway as a client of the first tenant.
func (f *fleet) call(gateway int, method, path, body string) answer {
	return f.callWith(apiKey, gateway, method, path, body)
}

// callWith calls a gateway with an API key.
func (f *fleet) callWith(key string, gateway int, method, path, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.addr(classFront, gateway%gateways+1, portCallers)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	var reply struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
		Error   string `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&reply) // some answers have no body
	return answer{resp.StatusCode, reply.State, reply.Pending, reply.Error}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, and again at other gateways until it is answered for certain. It reports
// whether it was accepted.
func (f *fleet) submit(path, body string) bool { return f.submitWith(apiKey, path, body) }

// submitWith is submit with an API key.
func (f *fleet) submitWith(key, path, body string) bool {
	for try := range 8 {
		a := f.callWith(key, try, "POST", path, body)
		f.rec.add("client: POST %s %.200s -> %d %s", path, body, a.status, a.body)
		switch a.status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusNotFound, http.StatusUnauthorized, http.StatusRequestEntityTooLarge:
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// mustSubmit is submit for what has to be accepted for the case to run.
func (f *fleet) mustSubmit(path, body string) {
	if !f.submit(path, body) {
		panic("job not accepted: " + path)
	}
}

// get asks for a job's state at one gateway after the other until one answers.
func (f *fleet) get(path string) answer {
	var a answer
	for try := range gateways {
		a = f.call(try, "GET", path, "")
		if a.status != 0 && a.status != http.StatusServiceUnavailable {
			break
		}
	}
	f.rec.add("client: GET %s -> %d %s %s", path, a.status, a.state, a.body)
	return a
}

// awaitState waits until a job is shown in a state.
func (f *fleet) awaitState(limit time.Duration, path, state string) error {
	return f.await(limit, path+" is "+state, func() bool {
		if f.get(path).state == state {
			return true
		}
		time.Sleep(300 * time.Millisecond)
		return false
	})
}
