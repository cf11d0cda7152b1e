package demo

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

// sent is one request with the answers to it and to its repeats.
type sent struct {
	request
	answers []answer
}

// verifier compares what callers got with what backend servers recorded.
type verifier struct {
	set *pipeline.Set
	// byRequest and byInput hold the runs by request ID and by input hash.
	byRequest, byInput map[string][]standin.Run
}

func newVerifier(set *pipeline.Set, runs []standin.Run) *verifier {
	v := &verifier{set: set, byRequest: map[string][]standin.Run{}, byInput: map[string][]standin.Run{}}
	for _, run := range runs {
		v.byRequest[run.RequestID] = append(v.byRequest[run.RequestID], run)
		v.byInput[run.InputHash] = append(v.byInput[run.InputHash], run)
	}
	return v
}

// count returns the counts of one request with its repeats.
func (v *verifier) count(s sent) Counts {
	var counts Counts
	allNotRun := true
	for i, a := range s.answers {
		counts.Requests++
		if s.stream {
			counts.Streams++
		}
		if i > 0 {
			counts.RepeatedKeys++
		}
		allNotRun = allNotRun && a.outcome == entry.OutcomeNotRun
		v.countAnswer(&counts, s, a)
	}
	if allNotRun && len(v.byRequest[s.id]) > 0 {
		counts.NotRunButRan += len(s.answers)
	}
	counts.Doubled = max(0, v.onceRuns(s.request)-1)
	return counts
}

// countAnswer counts a completed answer only when it is the whole answer to its request.
func (v *verifier) countAnswer(counts *Counts, s sent, a answer) {
	switch {
	case a.outcome != entry.OutcomeCompleted:
		counts.count(a.outcome)
		return
	case a.body == nil && !s.delivered(a.digest):
		counts.Lost++
		return
	case a.body == nil:
		counts.Completed++
		return
	}
	switch v.check(s.request, a.body) {
	case answerWhole:
		counts.Completed++
	case answerCut:
		counts.Lost++
	case answerOfAnother:
		counts.MixedUp++
	}
}

// delivered reports whether the caller already got an answer with the digest.
func (s sent) delivered(digest string) bool {
	for _, a := range s.answers {
		sum := sha256.Sum256(a.body)
		if a.body != nil && hex.EncodeToString(sum[:]) == digest {
			return true
		}
	}
	return false
}

// verdict says what an answer is compared with the records.
type verdict int

const (
	answerWhole verdict = iota
	answerCut
	answerOfAnother
)

func (v *verifier) check(r request, body []byte) verdict {
	if r.lastStage == pipeline.StageGenerate {
		return v.checkText(r, string(body))
	}
	return v.checkDocument(r, body)
}

// checkText compares generated text with what the engine was to generate for the
// input that the text names.
func (v *verifier) checkText(r request, text string) verdict {
	hash, _, _ := strings.Cut(text, "\n")
	run, ok := v.own(r, hash)
	switch {
	case !ok:
		return answerOfAnother
	case text == standin.GeneratedText(hash, run.AnswerBytes):
		return answerWhole
	case strings.HasPrefix(standin.GeneratedText(hash, run.AnswerBytes), text):
		return answerCut
	}
	return answerOfAnother
}

// checkDocument compares the answer of a service with the input that the service
// recorded for the request.
func (v *verifier) checkDocument(r request, body []byte) verdict {
	var document struct {
		RequestID string          `json:"request_id"`
		Input     json.RawMessage `json:"input"`
	}
	if json.Unmarshal(body, &document) != nil {
		return answerCut
	}
	var input bytes.Buffer
	if json.Compact(&input, document.Input) != nil {
		return answerCut
	}
	sum := sha256.Sum256(input.Bytes())
	_, ok := v.own(r, hex.EncodeToString(sum[:]))
	if !ok || document.RequestID != r.id {
		return answerOfAnother
	}
	return answerWhole
}

// own returns the run of a request's last stage with the input hash.
func (v *verifier) own(r request, hash string) (standin.Run, bool) {
	for _, run := range v.byInput[hash] {
		same := run.RequestID == r.id && run.Organisation == r.organisation && run.Kind == r.kind.Name
		if same && run.Type == r.lastStage {
			return run, true
		}
	}
	return standin.Run{}, false
}

// onceRuns returns how often the once stage of a request ran.
func (v *verifier) onceRuns(r request) int {
	p, ok := v.set.Pipeline(r.pipeline)
	if !ok {
		return 0
	}
	runs := 0
	for _, stage := range p.Stages {
		for _, run := range v.byRequest[r.id] {
			if stage.Once && run.Pool == stage.Pool {
				runs++
			}
		}
	}
	return runs
}
