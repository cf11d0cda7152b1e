package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Run is the record of one request that a backend server ran.
type Run struct {
	Server       string             `json:"server"`
	Pool         string             `json:"pool"`
	Attempt      string             `json:"attempt"`
	Organisation string             `json:"organisation"`
	Pipeline     string             `json:"pipeline"`
	Kind         string             `json:"kind"`
	Type         pipeline.StageType `json:"type"`
	// InputHash is the SHA-256 of the input in hexadecimal.
	InputHash string `json:"input_hash"`
	// RequestID is the "request_id" in the caller's request body; empty when absent.
	RequestID string `json:"request_id"`
	// ResumeOffset is the offset at which a resumed stream started, in bytes.
	ResumeOffset int64 `json:"resume_offset"`
	// AnswerBytes is the length of the whole answer of a generate stage.
	AnswerBytes int `json:"answer_bytes"`
	// Finished is true when the server sent the whole answer, CutOff when it stopped
	// before the end. Both are false while the request runs.
	Finished bool `json:"finished"`
	CutOff   bool `json:"cut_off"`
	// Fault is the injected fault, if any.
	Fault Fault `json:"fault,omitempty"`
}

// callerBody holds the fields of a caller's request body that the stand-ins read.
type callerBody struct {
	RequestID string `json:"request_id"`
	// AnswerBytes is the length of the generated answer; 0 means the server's default.
	AnswerBytes int `json:"answer_bytes"`
}

// readCallerBody reads the caller's request body from the input of a stage. The input
// of the first stage is the body; that of later stages has it in the field "request".
func readCallerBody(input json.RawMessage) callerBody {
	var later struct {
		Request *callerBody `json:"request"`
	}
	if json.Unmarshal(input, &later) == nil && later.Request != nil {
		return *later.Request
	}
	var first callerBody
	_ = json.Unmarshal(input, &first)
	return first
}

// runLog records the runs of one backend server in the order in which they started.
type runLog struct {
	mu   sync.Mutex
	runs []*Run
}

func (l *runLog) start(run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &run)
	return &run
}

// end records whether the whole answer was sent.
func (l *runLog) end(run *Run, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Finished = finished
	run.CutOff = !finished
}

// after returns copies of the runs from an index on.
func (l *runLog) after(position int) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	position = min(max(position, 0), len(l.runs))
	runs := make([]Run, 0, len(l.runs)-position)
	for _, run := range l.runs[position:] {
		runs = append(runs, *run)
	}
	return runs
}

// newRun returns the record of a stage request that starts to run.
func newRun(config BackendConfig, attempt string, stageType pipeline.StageType, body backend.Body) Run {
	sum := sha256.Sum256(body.Input)
	return Run{
		Server:       config.ID,
		Pool:         config.Pool,
		Attempt:      attempt,
		Organisation: body.Organisation,
		Pipeline:     body.Pipeline,
		Kind:         body.Kind,
		Type:         stageType,
		InputHash:    hex.EncodeToString(sum[:]),
		RequestID:    readCallerBody(body.Input).RequestID,
		ResumeOffset: body.ResumeOffset,
	}
}
