package backend

import "encoding/json"

// Headers and paths of the HTTP protocol. The attempt is not sent as
// Idempotency-Key, because net/http resends requests that carry that header.
const (
	HeaderAttempt  = "Attempt-Id"
	HeaderTimeout  = "Grpc-Timeout"
	HeaderPriority = "Priority"
	PathStage      = "/v1/stages/"

	// EventChunk carries a chunk of a generated stream, EventEnd marks its end.
	EventChunk = "chunk"
	EventEnd   = "end"
)

// Body is the JSON body of a stage request.
type Body struct {
	Organisation string          `json:"organisation"`
	Pipeline     string          `json:"pipeline"`
	Kind         string          `json:"kind"`
	Class        string          `json:"class"`
	Model        string          `json:"model,omitempty"`
	PrefixKey    string          `json:"prefix_key,omitempty"`
	MaxTokens    int             `json:"max_tokens,omitempty"`
	ResumeOffset int64           `json:"resume_offset,omitempty"`
	Input        json.RawMessage `json:"input,omitempty"`
}

// Answer is the whole answer of a stage that does not stream.
type Answer struct {
	Attempt string          `json:"attempt"`
	Output  json.RawMessage `json:"output"`
}

// StreamChunk is the data of an EventChunk.
type StreamChunk struct {
	Attempt string `json:"attempt"`
	Offset  int64  `json:"offset"`
	Data    string `json:"data"`
}

// StreamEnd is the data of an EventEnd.
type StreamEnd struct {
	Attempt string `json:"attempt"`
	Bytes   int64  `json:"bytes"`
}

// Refusal is the body of a response, for example with status 503 or 429, that
// reports that the server did not run the request.
type Refusal struct {
	// Attempt is the ID of the refused attempt. Without it, the refusal counts on a
	// connection of its own only.
	Attempt  string `json:"attempt,omitempty"`
	Refused  bool   `json:"refused"`
	Draining bool   `json:"draining,omitempty"`
}
