package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against prompts of very many short parts that hold up the requests of all callers while
// their parts are looked up.
func TestPromptsOfVeryManyPartsAreRejected(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	for parts, status := range map[int]int{maxPromptParts: http.StatusOK, maxPromptParts + 1: http.StatusBadRequest} {
		answer, _, err := f.do("POST", "/p/", "", "Prompt", strings.Repeat("a ", parts))
		c.Assert(err, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, status, qt.Commentf("%d parts", parts))
	}
}

// Guards against text of a client that reaches stage servers changed, so that the keys of two
// clients become one, and against calls of other instances that fail on it.
func TestTextThatIsNotUTF8IsRejected(t *testing.T) {
	c := qt.New(t)
	const latin1 = "r\xf3tulo"
	for _, v := range []struct {
		info  RequestInfo
		field string
	}{
		{RequestInfo{ID: latin1}, "request ID"},
		{RequestInfo{PieceKey: latin1}, "piece key"},
		{RequestInfo{Prompt: []engine.Part{{ID: "ok"}, {ID: latin1}}}, "ID of a prompt part"},
	} {
		var text *TextError
		c.Assert(v.info.checkText(), qt.ErrorAs, &text)
		c.Check(text.Field, qt.Equals, v.field)
	}
	c.Check(RequestInfo{ID: "rótulo", PieceKey: "é", Prompt: []engine.Part{{ID: ""}}}.checkText(), qt.IsNil)

	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	var calls, freed recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	answer, body, err := f.do("POST", "/p/", "", "Counts", "1", "Prompt", latin1)
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusBadRequest)
	c.Check(body, qt.Equals, "ID of a prompt part is not valid UTF-8\n")
	c.Check(calls.all(), qt.HasLen, 0)
}

// Guards against a request that books the memory of many model servers for an output that it
// can't have: more than fits beside its prompt, or than is generated until its deadline.
func TestExpectedOutputIsWhatAModelServerCanGenerate(t *testing.T) {
	c := qt.New(t)
	for _, v := range []struct {
		named, prompt, memory int
		timeout               time.Duration
		expected              int
	}{
		{80, 100, 1000, time.Second, 80},
		{1 << 30, 100, 1000, time.Minute, 900},
		{1 << 30, 100, 0, time.Minute, 60_000},
		{1 << 30, 100, 1 << 20, 2 * time.Second, 2000},
	} {
		now := time.Now()
		info := RequestInfo{OutputTokens: v.named, Prompt: []engine.Part{{ID: "a", Tokens: v.prompt}}}
		service := &route.Service{Engine: &route.EngineProfile{CacheTokens: v.memory}}
		g := &generateRequest{clientRequest: &clientRequest{requestInfo: info, service: service, arrived: now, deadline: now.Add(v.timeout)}}
		c.Check(g.outputTokens(), qt.Equals, v.expected, qt.Commentf("%+v", v))
	}
}
