package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

func init() { cases["inputs"] = runInputs }

// Figures of the case "inputs". A call takes what the sheet says of the stage service.
const (
	stageService = "etiquetagem"
	pieces       = 6
	callTime     = 200 * time.Millisecond
	pieceTime    = 21 * time.Millisecond
	rounds       = 9
	// pollTime is how long the instance that schedules a stage lets its requester wait.
	pollTime = 200 * time.Millisecond
)

// results records which request each result was made for, by its handle.
type results struct {
	mu       sync.Mutex
	made     map[string]string
	mismatch []string
}

// serveStage makes the pieces of a call.
func (s *results) serveStage(address func() string) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/coltsfootdrift/stage-run" {
			answer(rw, struct{}{})
			return
		}
		var call struct {
			Items []struct {
				ID string `json:"id"`
			} `json:"items"`
		}
		_ = json.NewDecoder(r.Body).Decode(&call)
		time.Sleep(callTime + time.Duration(len(call.Items))*pieceTime)
		items := []map[string]string{}
		s.mu.Lock()
		for _, item := range call.Items {
			handle := address() + "/" + hexID(12)
			s.made[handle] = item.ID
			items = append(items, map[string]string{"handle": handle})
		}
		s.mu.Unlock()
		answer(rw, map[string]any{"items": items})
	}
}

// serveModel answers a request with a stream, after it has checked its inputs.
func (s *results) serveModel(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	s.mu.Lock()
	for _, handle := range strings.Split(r.Header.Get("Inputs"), ",") {
		if of := s.made[handle]; of != id {
			s.mismatch = append(s.mismatch, fmt.Sprintf("request %s got the result %s of request %s", id, handle, of))
		}
	}
	s.mu.Unlock()
	serveStream(2, 40)(rw, r)
}

// runInputs lets the instance that schedules a stage restart while a requester stands still.
func runInputs(w *world) (verdict, error) {
	s := &results{made: map[string]string{}}
	c := configuration(7, key)
	c["routes"].([]map[string]any)[0]["stages"] = []map[string]any{{"service": stageService, "after": []int{}, "bytes": 8000}}
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": stageService, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
		"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200.0, "item-ms": 21.0, "headroom-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000}})
	w.store.put("op/config", c)
	for i := range 5 {
		var p *replica
		p, err := w.startReplica(fmt.Sprintf("i-et%02d", i), stageService, "norte-adega", 1, s.serveStage(func() string { return p.address }))
		if err != nil {
			return verdict{}, err
		}
		if _, err := w.startReplica(fmt.Sprintf("i-ml%02d", i), "assistente-ml", "norte-adega", 64, s.serveModel); err != nil {
			return verdict{}, err
		}
	}
	names := []string{"front-norte-adega-1", "front-norte-adega-2", "front-norte-adega-3", "front-norte-adega-4", "front-norte-adega-5"}
	var peers []string
	for range names {
		address, err := freePort()
		if err != nil {
			return verdict{}, err
		}
		peers = append(peers, address)
	}
	for i, name := range names {
		if _, err := w.startGateway(name, "norte-adega", peers[:3], peers[i]); err != nil {
			return verdict{}, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	owner := w.gateways[slices.Index(names, rendezvous.Order(stageService, names)[0])]
	others := slices.DeleteFunc(slices.Clone(w.gateways), func(g *gateway) bool { return g == owner })
	w.record("%s schedules the stage, %s and %s request it", owner.name, others[0].name, others[1].name)
	for round := range rounds {
		// The owner begins anew, so that it numbers its jobs from 1.
		owner.kill()
		if err := owner.start(); err != nil {
			return verdict{}, err
		}
		if err := owner.awaitReady(); err != nil {
			return verdict{}, err
		}
		time.Sleep(6 * time.Second)
		if err := w.playInputs(owner, others[0], others[1]); err != nil {
			return verdict{}, err
		}
		s.mu.Lock()
		mismatch := slices.Clone(s.mismatch)
		s.mu.Unlock()
		if len(mismatch) > 0 {
			for _, line := range mismatch {
				w.record("%s", line)
			}
			return verdict{true, fmt.Sprintf("MIXED: a request was given %d results of another one, in round %d", len(mismatch), round+1)}, nil
		}
	}
	return verdict{false, "each request got its own results"}, nil
}

// playInputs plays one round: a client of each of two gateways sends a request, and the
// disruption comes in between.
func (w *world) playInputs(owner, first, second *gateway) error {
	var clients sync.WaitGroup
	send := func(g *gateway) {
		clients.Go(func() {
			status, err := sendStaged(g)
			w.record("%s: answer %d, %v", g.name, status, err)
		})
	}
	begun := time.Now()
	since := func() int64 { return time.Since(begun).Milliseconds() }
	send(first)
	if !w.trouble {
		time.Sleep(300 * time.Millisecond)
		send(second)
		clients.Wait()
		return nil
	}
	time.Sleep(60 * time.Millisecond)
	first.signal(syscall.SIGSTOP)
	w.record("%d ms: %s stands still", since(), first.name)
	time.Sleep(time.Until(begun.Add(pollTime + 15*time.Millisecond)))
	owner.kill()
	if err := owner.start(); err != nil {
		return err
	}
	w.record("%d ms: %s is killed and started again", since(), owner.name)
	if err := owner.awaitReadySoon(); err != nil {
		return err
	}
	w.record("%d ms: %s is ready again", since(), owner.name)
	sent := time.Now()
	send(second)
	time.Sleep(100 * time.Millisecond)
	second.signal(syscall.SIGSTOP)
	w.record("%d ms: %s stands still", since(), second.name)
	time.Sleep(time.Until(sent.Add(pollTime + 12*time.Millisecond)))
	first.signal(syscall.SIGCONT)
	w.record("%d ms: %s goes on", since(), first.name)
	time.Sleep(300 * time.Millisecond)
	second.signal(syscall.SIGCONT)
	w.record("%d ms: %s goes on", since(), second.name)
	clients.Wait()
	return nil
}

// awaitReadySoon is awaitReady with a short interval.
func (g *gateway) awaitReadySoon() error {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s did not become ready", g.name)
}

// sendStaged sends a request with pieces and returns the status of its answer.
func sendStaged(g *gateway) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.client+engineRoute+"a", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host = host
	header := request.Header
	header.Set("Request-Attempt-Id", hexID(16))
	header.Set("Credential", key)
	header.Set("Deadline-Ms", "6000")
	header.Set("Model", "m")
	header.Set("Token-Usage", "60,4")
	header.Set("Prompt-Prefix", "5c1e07a2:50,"+hexID(8)+":10")
	header.Set("Pieces", fmt.Sprint(pieces))
	header.Set("Piece-Key", hexID(12))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 8 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
