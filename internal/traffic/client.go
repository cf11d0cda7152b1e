package traffic

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
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

// maxEventBytes bounds one event of a streamed answer.
const maxEventBytes = 4 << 20

// pollInterval is the time between two questions about a durable request.
const pollInterval = 50 * time.Millisecond

// askTimeout bounds one question about a durable request.
const askTimeout = 2 * time.Second

// Answer is what a caller got.
type Answer struct {
	// Outcome is empty when no final answer arrived.
	Outcome entry.Outcome
	// Body is the whole answer when the outcome is completed.
	Body []byte
	// Digest is set instead of the body for a repeat whose answer isn't kept: the
	// SHA-256 in hexadecimal.
	Digest string
	// Location is the path of the status of an accepted durable request.
	Location string
	// Detail says what went wrong.
	Detail string
}

func lost(err error) Answer {
	return Answer{Detail: err.Error()}
}

// Caller sends requests to entry instances.
type Caller struct {
	HTTP *http.Client
	// Elsewhere returns an instance that is asked about a durable request; nil to ask
	// only the instance that accepted it.
	Elsewhere func() string
}

// Send sends one request to an instance and waits for the final answer.
func (c *Caller) Send(ctx context.Context, address string, r Request) Answer {
	url := fmt.Sprintf("http://%s/v1/organisations/%s/pipelines/%s/kinds/%s", address, r.Organisation, r.Pipeline, r.Kind.Name)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return lost(err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		httpRequest.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Stream {
		httpRequest.Header.Set("Accept", "text/event-stream")
	}
	if r.Async {
		httpRequest.Header.Set("Prefer", "respond-async")
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return lost(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusAccepted {
		answer := c.poll(ctx, address, response.Header.Get("Location"))
		answer.Location = response.Header.Get("Location")
		return answer
	}
	return read(response)
}

// poll asks for the answer of an accepted durable request until there is one. Any
// other end than a completed one is a loss.
func (c *Caller) poll(ctx context.Context, address, location string) Answer {
	for {
		got, pending := c.ask(ctx, "http://"+address+location)
		if c.Elsewhere != nil {
			address = c.Elsewhere()
			pending = pending || got.Outcome == ""
		}
		switch {
		case got.Outcome == entry.OutcomeCompleted:
			return got
		case !pending:
			return lost(fmt.Errorf("accepted, then outcome %q: %s", got.Outcome, got.Detail))
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return lost(fmt.Errorf("accepted as %s: %w", location, ctx.Err()))
		}
	}
}

// ask returns the answer of a durable request, or true while there is none.
func (c *Caller) ask(ctx context.Context, url string) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return lost(err), false
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return lost(err), false
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusServiceUnavailable:
		return Answer{}, true
	case http.StatusOK:
		return readStatus(response.Body)
	}
	return read(response), false
}

// readStatus returns the answer that the status of a durable request holds, or
// true while it is not finished.
func readStatus(body io.Reader) (Answer, bool) {
	var status entry.JobStatus
	if err := json.NewDecoder(body).Decode(&status); err != nil {
		return lost(fmt.Errorf("status: %w", err)), false
	}
	if status.State != job.StateFinished {
		return Answer{}, true
	}
	return Answer{Outcome: status.Outcome, Body: plainText(status.Answer), Detail: status.Detail}, false
}

// read returns the final answer that a response holds.
func read(response *http.Response) Answer {
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
	return Answer{Outcome: outcome, Body: plainText(body)}
}

// plainText takes generated text out of its JSON string.
func plainText(body []byte) []byte {
	var text string
	if json.Unmarshal(body, &text) == nil {
		return []byte(text)
	}
	return body
}

func readProblem(body []byte) Answer {
	var problem struct {
		entry.Problem
		SHA256 string `json:"sha256"`
	}
	if err := json.Unmarshal(body, &problem); err != nil {
		return lost(fmt.Errorf("problem: %w", err))
	}
	return Answer{Outcome: problem.Outcome, Digest: problem.SHA256, Detail: problem.Error()}
}

// errNoEnd reports a stream that stopped without its end mark.
var errNoEnd = errors.New("stream has no end mark")

// readStream reads a streamed answer up to its end mark.
func readStream(body io.Reader) Answer {
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

func endOfStream(data string, text []byte) Answer {
	var end entry.StreamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return lost(err)
	}
	if end.Bytes != int64(len(text)) {
		return lost(fmt.Errorf("%d of %d bytes arrived", len(text), end.Bytes))
	}
	return Answer{Outcome: end.Outcome, Body: text}
}
