package backend

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a fast path for the usual form of an answer that accepts documents
// which encoding/json rejects, or decodes a document differently.
func TestDecodeAnswerAsEncodingJSON(t *testing.T) {
	for _, data := range []string{
		`{"attempt":"a1","output":{"n":1}}`,
		`{"attempt":"a1","output":[1,2]}` + "\n",
		`{"attempt":"a1","output":{"n":1}`,
		`{"attempt":"a1","output":1,"output":2}`,
		`{"attempt":"a1","output":1,"attempt":"a2"}`,
		`{"attempt":"a1","output":}`,
		`{"attempt":"a1","output":1}}`,
		`{"attempt":"a1","output":1}{}`,
		`{"attempt":"a2","output":1}`,
		`{"output":1,"attempt":"a1"}`,
		`{"attempt":"a1","output":"}"}`,
		`{"attempt":"a1"}`,
	} {
		var want Answer
		wantErr := json.Unmarshal([]byte(data), &want)
		got, err := decodeAnswer([]byte(data), "a1")
		qt.Check(t, err != nil, qt.Equals, wantErr != nil, qt.Commentf("%s", data))
		if wantErr == nil {
			qt.Check(t, got.Attempt, qt.Equals, want.Attempt, qt.Commentf("%s", data))
			qt.Check(t, string(got.Output), qt.Equals, string(want.Output), qt.Commentf("%s", data))
		}
	}
}

func BenchmarkDecodeAnswer(b *testing.B) {
	data := []byte(`{"attempt":"a1","output":{"text":"` + strings.Repeat("lot 4711 ", 60) + `"}}`)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = decodeAnswer(data, "a1")
	}
}

// The baseline for BenchmarkDecodeAnswer.
func BenchmarkDecodeAnswerEncodingJSON(b *testing.B) {
	data := []byte(`{"attempt":"a1","output":{"text":"` + strings.Repeat("lot 4711 ", 60) + `"}}`)
	b.ReportAllocs()
	for b.Loop() {
		var answer Answer
		_ = json.Unmarshal(data, &answer)
	}
}
