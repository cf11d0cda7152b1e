package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id        string
	sent, got time.Time
	status    int // 0 for a connection that ended without an answer
	body      string
	signature string
}

// clients send requests at a fixed rate and keep their answers.
type clients struct {
	record *record
	mu     sync.Mutex
	got    []answer
	wait   sync.WaitGroup
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends one request on a new connection.
func (c *clients) send(g *gateway, method, host, path, key, body string, deadline time.Duration) answer {
	return c.sendWith(g, method, host, path, key, body, deadline, nil)
}

// sendDraft sends a request with two stages of two and eight pieces.
func (c *clients) sendDraft(g *gateway, number int) answer {
	headers := map[string]string{
		"Model": "m", "Token-Usage": "1210,80", "Pieces": "2,8", "Piece-Key": newID(),
		"Prompt-Prefix": "5c1e07a2:800," + newID() + ":" + strconv.Itoa(400+number),
	}
	return c.sendWith(g, "POST", draftHost, draftPath+"1", ordersKey, "draft", draftTimeout, headers)
}

func (c *clients) sendWith(g *gateway, method, host, path, key, body string, deadline time.Duration, headers map[string]string) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.client+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	request.Host = host
	request.Header.Set("Request-Attempt-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Credential", key)
	request.Header.Set("Via-Gateway", g.name)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			a.status, a.body, a.signature = response.StatusCode, string(data), response.Header.Get("Response-Signature")
		}
	}
	a.got = time.Now()
	c.record.add("answer  %s from %s: %d after %d ms", a.id, g.name, a.status, a.got.Sub(a.sent).Milliseconds())
	c.mu.Lock()
	c.got = append(c.got, a)
	c.mu.Unlock()
	return a
}

// run sends requests to a gateway at an interval until the context ends.
func (c *clients) run(ctx context.Context, g *gateway, interval time.Duration, method, host, path, key string) {
	c.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.wait.Go(func() { c.send(g, method, host, path, key, "release batch 7", 1500*time.Millisecond) })
			case <-ctx.Done():
				return
			}
		}
	})
}

// byStatus counts the answers by status.
func (c *clients) byStatus() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, a := range c.got {
		counts[a.status]++
	}
	return counts
}
