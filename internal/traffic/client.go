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

// maxEventBytes is the size limit of one event of a streamed answer.
const maxEventBytes = 4 << 20

// pollInterval is the time between two polls for the status of a durable request.
const pollInterval = 50 * time.Millisecond

// statusTimeout is the timeout of one poll for the status of a durable request.
const statusTimeout = 2 * time.Second

// Answer is the final answer that a caller got.
type Answer struct {
	// Outcome is empty when no final answer arrived.
	Outcome entry.Outcome
	// Body is the whole answer body when the outcome is completed.
	Body []byte
	// Digest is the SHA-256 of the answer in hexadecimal. It is set instead of Body
	// for a repeated request whose answer is not stored.
	Digest string
	// Location is the status path of an accepted durable request.
	Location string
	// Detail describes the error, if any.
	Detail string
}

func lostAnswer(err error) Answer {
	return Answer{Detail: err.Error()}
}

// Client sends requests to entry instances.
type Client struct {
	HTTP *http.Client
	// PollAddress returns the address of an instance to poll for the status of a
	// durable request. When it is nil, the instance that accepted the request is polled.
	PollAddress func() string
}

// Send sends one request to an instance and waits for the final answer.
func (c *Client) Send(ctx context.Context, address string, r Request) Answer {
	url := fmt.Sprintf("http://%s/v1/organisations/%s/pipelines/%s/kinds/%s", address, r.Organisation, r.Pipeline, r.Kind.Name)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return lostAnswer(err)
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
		return lostAnswer(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusAccepted {
		answer := c.poll(ctx, address, response.Header.Get("Location"))
		answer.Location = response.Header.Get("Location")
		return answer
	}
	return readAnswer(response)
}

// poll polls the status of an accepted durable request until the request has
// finished. A request that finished with another outcome than completed is lost.
func (c *Client) poll(ctx context.Context, address, location string) Answer {
	for {
		got, pending := c.fetchStatus(ctx, "http://"+address+location)
		if c.PollAddress != nil {
			address = c.PollAddress()
			pending = pending || got.Outcome == ""
		}
		switch {
		case got.Outcome == entry.OutcomeCompleted:
			return got
		case !pending:
			return lostAnswer(fmt.Errorf("accepted, then outcome %q: %s", got.Outcome, got.Detail))
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return lostAnswer(fmt.Errorf("accepted as %s: %w", location, ctx.Err()))
		}
	}
}

// fetchStatus returns the answer of a durable request, or true while there is none.
func (c *Client) fetchStatus(ctx context.Context, url string) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return lostAnswer(err), false
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return lostAnswer(err), false
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusServiceUnavailable:
		return Answer{}, true
	case http.StatusOK:
		return readStatus(response.Body)
	}
	return readAnswer(response), false
}

// readStatus reads the answer from the status of a durable request. It returns true
// while the request has not finished.
func readStatus(body io.Reader) (Answer, bool) {
	var status entry.JobStatus
	if err := json.NewDecoder(body).Decode(&status); err != nil {
		return lostAnswer(fmt.Errorf("status: %w", err)), false
	}
	if status.State != job.StateFinished {
		return Answer{}, true
	}
	return Answer{Outcome: status.Outcome, Body: plainText(status.Answer), Detail: status.Detail}, false
}

// readAnswer reads the final answer from a response.
func readAnswer(response *http.Response) Answer {
	contentType := response.Header.Get("Content-Type")
	if strings.HasPrefix(contentType, "text/event-stream") {
		return readStream(response.Body)
	}
	// The response has a Content-Length, so a truncated body is an error here.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return lostAnswer(err)
	}
	if strings.HasPrefix(contentType, "application/problem+json") {
		return readProblem(body)
	}
	outcome := entry.Outcome(response.Header.Get(entry.HeaderOutcome))
	if outcome != entry.OutcomeCompleted {
		return lostAnswer(fmt.Errorf("status %d with outcome %q: %.200s", response.StatusCode, outcome, body))
	}
	return Answer{Outcome: outcome, Body: plainText(body)}
}

// plainText returns generated text without its JSON encoding, and any other body
// unchanged.
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
		return lostAnswer(fmt.Errorf("problem: %w", err))
	}
	return Answer{Outcome: problem.Outcome, Digest: problem.SHA256, Detail: problem.Error()}
}

// errNoEndEvent reports a stream that ended without an end event.
var errNoEndEvent = errors.New("stream ended without an end event")

// readStream reads a streamed answer up to its end event.
func readStream(body io.Reader) Answer {
	var text bytes.Buffer
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return lostAnswer(err)
		}
		switch event.Type {
		case entry.EventData:
			var chunk string
			if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
				return lostAnswer(err)
			}
			text.WriteString(chunk)
		case entry.EventError:
			return readProblem([]byte(event.Data))
		case entry.EventEnd:
			return readEndEvent(event.Data, text.Bytes())
		}
	}
	return lostAnswer(errNoEndEvent)
}

func readEndEvent(data string, text []byte) Answer {
	var end entry.StreamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return lostAnswer(err)
	}
	if end.Bytes != int64(len(text)) {
		return lostAnswer(fmt.Errorf("stream has %d of %d bytes", len(text), end.Bytes))
	}
	return Answer{Outcome: end.Outcome, Body: text}
}
