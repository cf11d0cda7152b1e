package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
)

// maxEventBytes bounds one event of a streamed answer.
const maxEventBytes = 4 << 20

// pollInterval is the time between two questions about a durable request.
const pollInterval = 50 * time.Millisecond

// answer is what a caller got.
type answer struct {
	// outcome is empty when no final answer arrived.
	outcome entry.Outcome
	// body is the whole answer when the outcome is completed.
	body []byte
	// digest is set instead of the body for a repeat whose answer isn't kept: the
	// SHA-256 in hexadecimal.
	digest string
	// detail says what went wrong.
	detail string
}

func lost(err error) answer {
	return answer{detail: err.Error()}
}

// caller sends requests to entry instances.
type caller struct {
	client *http.Client
}

// send sends one request to an instance and waits for the final answer.
func (c *caller) send(ctx context.Context, address string, r request) answer {
	url := fmt.Sprintf("http://%s/v1/organisations/%s/pipelines/%s/kinds/%s", address, r.organisation, r.pipeline, r.kind.Name)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.body))
	if err != nil {
		return lost(err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		httpRequest.Header.Set("Idempotency-Key", r.key)
	}
	if r.stream {
		httpRequest.Header.Set("Accept", "text/event-stream")
	}
	if r.async {
		httpRequest.Header.Set("Prefer", "respond-async")
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return lost(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusAccepted {
		return c.poll(ctx, address, response.Header.Get("Location"))
	}
	return read(response)
}

// poll asks for the answer of a durable request until there is one.
func (c *caller) poll(ctx context.Context, address, location string) answer {
	for {
		got, pending := c.ask(ctx, "http://"+address+location)
		if !pending {
			return got
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return lost(ctx.Err())
		}
	}
}

// ask returns the answer of a durable request, or true while there is none.
func (c *caller) ask(ctx context.Context, url string) (answer, bool) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return lost(err), false
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return lost(err), false
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusServiceUnavailable:
		return answer{}, true
	}
	return read(response), false
}

// read returns the final answer that a response holds.
func read(response *http.Response) answer {
	contentType := response.Header.Get("Content-Type")
	if strings.HasPrefix(contentType, "text/event-stream") {
		return readStream(response.Body)
	}
	// The answer has its length, so that a cut-off one is an error here.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return lost(err)
	}
	if strings.HasPrefix(contentType, "application/problem+json") {
		return readProblem(body)
	}
	outcome := entry.Outcome(response.Header.Get(entry.HeaderOutcome))
	if outcome != entry.OutcomeCompleted {
		return lost(fmt.Errorf("status %d with outcome %q: %.200s", response.StatusCode, outcome, body))
	}
	return answer{outcome: outcome, body: plainText(body)}
}

// plainText takes generated text out of its JSON string.
func plainText(body []byte) []byte {
	var text string
	if json.Unmarshal(body, &text) == nil {
		return []byte(text)
	}
	return body
}

func readProblem(body []byte) answer {
	var problem struct {
		entry.Problem
		SHA256 string `json:"sha256"`
	}
	if err := json.Unmarshal(body, &problem); err != nil {
		return lost(fmt.Errorf("problem: %w", err))
	}
	return answer{outcome: problem.Outcome, digest: problem.SHA256, detail: problem.Error()}
}

// errNoEnd reports a stream that stopped without its end mark.
var errNoEnd = errors.New("stream has no end mark")

// readStream reads a streamed answer up to its end mark.
func readStream(body io.Reader) answer {
	var text bytes.Buffer
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return lost(err)
		}
		switch event.Type {
		case entry.EventData:
			var piece string
			if err := json.Unmarshal([]byte(event.Data), &piece); err != nil {
				return lost(err)
			}
			text.WriteString(piece)
		case entry.EventError:
			return readProblem([]byte(event.Data))
		case entry.EventEnd:
			return endOfStream(event.Data, text.Bytes())
		}
	}
	return lost(errNoEnd)
}

func endOfStream(data string, text []byte) answer {
	var end entry.End
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return lost(err)
	}
	if end.Bytes != int64(len(text)) {
		return lost(fmt.Errorf("%d of %d bytes arrived", len(text), end.Bytes))
	}
	return answer{outcome: end.Outcome, body: text}
}
