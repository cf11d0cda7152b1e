package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

func hashOf(input string) string {
	sum := sha256.Sum256([]byte(input))
	return hex.EncodeToString(sum[:])
}

func recordedRun(id string, stage pipeline.StageType) standin.Run {
	return standin.Run{RequestID: id, InputHash: hashOf(id), Type: stage, Pool: string(stage), Organisation: "o", Kind: "k", AnswerBytes: 200}
}

// Guards against counts of 0 although a request was lost, doubled or mixed up, or ran
// although the caller got the outcome not_run.
func TestVerifierCounts(t *testing.T) {
	c := qt.New(t)
	set := &pipeline.Set{Pipelines: []pipeline.Pipeline{{Name: "p", Stages: []pipeline.Stage{
		{Name: "last", Type: pipeline.StageService, Pool: "service", Once: true},
	}}}}
	service, engine := pipeline.StageService, pipeline.StageGenerate
	document := func(id string) string { return fmt.Sprintf(`{"request_id": %q, "input": %s}`, id, id) }
	text := func(id string) string { return standin.GeneratedText(hashOf(id), 200) }
	completed := func(body string) Answer { return Answer{Outcome: entry.OutcomeCompleted, Body: []byte(body)} }
	notRun := Answer{Outcome: entry.OutcomeNotRun}
	for _, test := range []struct {
		name    string
		last    pipeline.StageType
		runs    []standin.Run
		answers []Answer
		want    Counts
	}{
		{"whole document", service, []standin.Run{recordedRun("1", service)}, []Answer{completed(document("1"))}, Counts{Completed: 1}},
		{"whole text", engine, []standin.Run{recordedRun("1", engine)}, []Answer{completed(text("1"))}, Counts{Completed: 1}},
		{"no answer", service, nil, []Answer{{}}, Counts{Lost: 1}},
		{"digest of a delivered answer", service, []standin.Run{recordedRun("1", service)}, []Answer{completed(document("1")), {Outcome: entry.OutcomeCompleted, Digest: hashOf(document("1"))}}, Counts{Completed: 2, RepeatedKeys: 1}},
		{"digest only", service, []standin.Run{recordedRun("1", service)}, []Answer{{Outcome: entry.OutcomeCompleted, Digest: hashOf(document("1"))}}, Counts{Lost: 1}},
		{"truncated text", engine, []standin.Run{recordedRun("1", engine)}, []Answer{completed(text("1")[:150])}, Counts{Lost: 1}},
		{"truncated document", service, []standin.Run{recordedRun("1", service)}, []Answer{completed(document("1")[:9])}, Counts{Lost: 1}},
		{"other document", service, []standin.Run{recordedRun("1", service), recordedRun("2", service)}, []Answer{completed(document("2"))}, Counts{MixedUp: 1}},
		{"other text", engine, []standin.Run{recordedRun("1", engine), recordedRun("2", engine)}, []Answer{completed(text("2"))}, Counts{MixedUp: 1}},
		{"text of two", engine, []standin.Run{recordedRun("1", engine)}, []Answer{completed(text("1")[:65] + text("2")[:135])}, Counts{MixedUp: 1}},
		{"answer without a run", service, nil, []Answer{completed(document("1"))}, Counts{MixedUp: 1}},
		{"two runs", service, []standin.Run{recordedRun("1", service), recordedRun("1", service)}, []Answer{completed(document("1"))}, Counts{Completed: 1, Doubled: 1}},
		{"not run", service, nil, []Answer{notRun}, Counts{NotRun: 1}},
		{"ran", service, []standin.Run{recordedRun("1", service)}, []Answer{notRun}, Counts{NotRun: 1, NotRunButRan: 1}},
		{"repeat", service, []standin.Run{recordedRun("1", service)}, []Answer{completed(document("1")), notRun}, Counts{Completed: 1, NotRun: 1, RepeatedKeys: 1}},
	} {
		r := Request{ID: "1", Organisation: "o", Pipeline: "p", Kind: pipeline.Kind{Name: "k"}, LastStage: test.last}
		test.want.Requests = len(test.answers)
		got := NewVerifier(set, test.runs).Count(Exchange{Request: r, Answers: test.answers})
		c.Assert(got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
