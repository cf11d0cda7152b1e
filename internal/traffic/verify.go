package traffic

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Exchange is one request with the answers to it and to its repeats.
type Exchange struct {
	Request
	Answers []Answer
	// Interrupted counts attempts that were sent again because the connection broke.
	Interrupted int
}

// Verifier compares the answers that callers got with the runs that the stand-in
// backend servers recorded.
type Verifier struct {
	set *pipeline.Set
	// byRequest and byInput hold the runs by request ID and by input hash.
	byRequest, byInput map[string][]standin.Run
}

// NewVerifier returns a verifier for a configuration and the recorded runs of all
// backend servers.
func NewVerifier(set *pipeline.Set, runs []standin.Run) *Verifier {
	v := &Verifier{set: set, byRequest: map[string][]standin.Run{}, byInput: map[string][]standin.Run{}}
	for _, run := range runs {
		v.byRequest[run.RequestID] = append(v.byRequest[run.RequestID], run)
		v.byInput[run.InputHash] = append(v.byInput[run.InputHash], run)
	}
	return v
}

// Count verifies one request with its repeats and returns the counts.
func (v *Verifier) Count(e Exchange) Counts {
	var counts Counts
	allNotRun := e.Interrupted == 0
	for i, a := range e.Answers {
		counts.Requests++
		if e.Stream {
			counts.Streams++
		}
		if i > 0 {
			counts.RepeatedKeys++
		}
		allNotRun = allNotRun && a.Outcome == entry.OutcomeNotRun
		v.countAnswer(&counts, e, a)
	}
	if allNotRun && len(v.byRequest[e.ID]) > 0 {
		counts.NotRunButRan += len(e.Answers)
	}
	counts.Doubled = max(0, v.nonIdempotentRuns(e.Request)-1)
	return counts
}

// countAnswer counts an answer by its outcome. A completed one counts as completed
// only if it is the whole answer to its own request.
func (v *Verifier) countAnswer(counts *Counts, e Exchange, a Answer) {
	switch {
	case a.Outcome != entry.OutcomeCompleted:
		counts.count(a.Outcome)
		return
	case a.Body == nil && !e.delivered(a.Digest):
		counts.Lost++
		return
	case a.Body == nil:
		counts.Completed++
		return
	}
	switch v.checkBody(e.Request, a.Body) {
	case answerComplete:
		counts.Completed++
	case answerTruncated:
		counts.Lost++
	case answerOfOtherRequest:
		counts.MixedUp++
	}
}

// delivered reports whether the caller got an answer with the digest to any of the
// requests with this key.
func (e Exchange) delivered(digest string) bool {
	for _, a := range e.Answers {
		sum := sha256.Sum256(a.Body)
		if a.Body != nil && hex.EncodeToString(sum[:]) == digest {
			return true
		}
	}
	return false
}

// answerCheck is the result of the comparison of an answer with the recorded runs.
type answerCheck int

const (
	answerComplete answerCheck = iota
	answerTruncated
	answerOfOtherRequest
)

func (v *Verifier) checkBody(r Request, body []byte) answerCheck {
	if r.LastStage == pipeline.StageGenerate {
		return v.checkText(r, string(body))
	}
	return v.checkDocument(r, body)
}

// checkText compares generated text with the text that the engine generates for the
// input whose hash is in the first line.
func (v *Verifier) checkText(r Request, text string) answerCheck {
	hash, _, _ := strings.Cut(text, "\n")
	run, ok := v.findRun(r, hash)
	switch {
	case !ok:
		return answerOfOtherRequest
	case text == standin.GeneratedText(hash, run.AnswerBytes):
		return answerComplete
	case strings.HasPrefix(standin.GeneratedText(hash, run.AnswerBytes), text):
		return answerTruncated
	}
	return answerOfOtherRequest
}

// checkDocument compares the answer of a service, which repeats its input, with the
// input that the service recorded for the request.
func (v *Verifier) checkDocument(r Request, body []byte) answerCheck {
	var document struct {
		RequestID string          `json:"request_id"`
		Input     json.RawMessage `json:"input"`
	}
	if json.Unmarshal(body, &document) != nil {
		return answerTruncated
	}
	var input bytes.Buffer
	if json.Compact(&input, document.Input) != nil {
		return answerTruncated
	}
	sum := sha256.Sum256(input.Bytes())
	_, ok := v.findRun(r, hex.EncodeToString(sum[:]))
	if !ok || document.RequestID != r.ID {
		return answerOfOtherRequest
	}
	return answerComplete
}

// findRun returns the run of the request's last stage that has the input hash.
func (v *Verifier) findRun(r Request, hash string) (standin.Run, bool) {
	for _, run := range v.byInput[hash] {
		matches := run.RequestID == r.ID && run.Organisation == r.Organisation && run.Kind == r.Kind.Name
		if matches && run.Type == r.LastStage {
			return run, true
		}
	}
	return standin.Run{}, false
}

// nonIdempotentRuns returns how often the non-idempotent stage of a request ran.
func (v *Verifier) nonIdempotentRuns(r Request) int {
	p, ok := v.set.Pipeline(r.Pipeline)
	if !ok {
		return 0
	}
	runs := 0
	for _, stage := range p.Stages {
		for _, run := range v.byRequest[r.ID] {
			if stage.Once && run.Pool == stage.Pool {
				runs++
			}
		}
	}
	return runs
}
