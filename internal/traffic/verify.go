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
	// Interrupted counts attempts whose connection broke. They were sent again.
	Interrupted int
}

// Verifier compares what callers got with what backend servers recorded.
type Verifier struct {
	set *pipeline.Set
	// byRequest and byInput hold the runs by request ID and by input hash.
	byRequest, byInput map[string][]standin.Run
}

// NewVerifier takes the configuration and the record of all backend servers.
func NewVerifier(set *pipeline.Set, runs []standin.Run) *Verifier {
	v := &Verifier{set: set, byRequest: map[string][]standin.Run{}, byInput: map[string][]standin.Run{}}
	for _, run := range runs {
		v.byRequest[run.RequestID] = append(v.byRequest[run.RequestID], run)
		v.byInput[run.InputHash] = append(v.byInput[run.InputHash], run)
	}
	return v
}

// Count returns the counts of one request with its repeats.
func (v *Verifier) Count(s Exchange) Counts {
	var counts Counts
	allNotRun := s.Interrupted == 0
	for i, a := range s.Answers {
		counts.Requests++
		if s.Stream {
			counts.Streams++
		}
		if i > 0 {
			counts.RepeatedKeys++
		}
		allNotRun = allNotRun && a.Outcome == entry.OutcomeNotRun
		v.countAnswer(&counts, s, a)
	}
	if allNotRun && len(v.byRequest[s.ID]) > 0 {
		counts.NotRunButRan += len(s.Answers)
	}
	counts.Doubled = max(0, v.nonIdempotentRuns(s.Request)-1)
	return counts
}

// countAnswer counts a completed answer only when it is the whole answer to its request.
func (v *Verifier) countAnswer(counts *Counts, s Exchange, a Answer) {
	switch {
	case a.Outcome != entry.OutcomeCompleted:
		counts.count(a.Outcome)
		return
	case a.Body == nil && !s.delivered(a.Digest):
		counts.Lost++
		return
	case a.Body == nil:
		counts.Completed++
		return
	}
	switch v.checkBody(s.Request, a.Body) {
	case answerComplete:
		counts.Completed++
	case answerTruncated:
		counts.Lost++
	case answerOfOtherRequest:
		counts.MixedUp++
	}
}

// delivered reports whether the caller already got an answer with the digest.
func (s Exchange) delivered(digest string) bool {
	for _, a := range s.Answers {
		sum := sha256.Sum256(a.Body)
		if a.Body != nil && hex.EncodeToString(sum[:]) == digest {
			return true
		}
	}
	return false
}

// verdict says what an answer is compared with the records.
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

// checkText compares generated text with what the engine was to generate for the
// input that the text names.
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

// checkDocument compares the answer of a service with the input that the service
// recorded for the request.
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

// own returns the run of a request's last stage with the input hash.
func (v *Verifier) findRun(r Request, hash string) (standin.Run, bool) {
	for _, run := range v.byInput[hash] {
		matches := run.RequestID == r.ID && run.Organisation == r.Organisation && run.Kind == r.Kind.Name
		if matches && run.Type == r.LastStage {
			return run, true
		}
	}
	return standin.Run{}, false
}

// onceRuns returns how often the once stage of a request ran.
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
