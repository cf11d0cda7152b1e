package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tmaxmax/go-sse"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

const (
	deploymentFile = `{"deployment": "test", "regions": [{"name": "r", "failure_domains": ["r-a"]}],
		"pools": [{"name": "encoders", "type": "encode", "slots": 4}, {"name": "engines", "type": "generate", "slots": 4}],
		"organisations": [{"name": "acme"}]}`
	pipelineFile = `{"pipeline": "notes", // two stages
		"stages": [{"name": "encode", "type": "encode", "pool": "encoders"}, {"name": "draft", "type": "generate", "pool": "engines"}],
		"kinds": [{"name": "note", "repeat": "idempotent", "class": "normal", "max_wait_ms": 10000, "cost": {}}]}`
	largeAnswerBytes = 1 << 20
)

// Guards against a streamed answer that is truncated, reordered or without its end
// event after passing through two stages.
func TestStreamedAnswerArrivesComplete(t *testing.T) {
	c := qt.New(t)
	address := startEntry(c)
	url := "http://" + address + "/v1/organisations/acme/pipelines/notes/kinds/note"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"text": "hello"}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Accept", "text/event-stream")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)

	var answer strings.Builder
	var end StreamEnd
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: largeAnswerBytes}) {
		c.Assert(err, qt.IsNil)
		if event.Type == EventEnd {
			c.Assert(json.Unmarshal([]byte(event.Data), &end), qt.IsNil)
			continue
		}
		var chunk string
		c.Assert(json.Unmarshal([]byte(event.Data), &chunk), qt.IsNil)
		answer.WriteString(chunk)
	}
	c.Assert(end.Outcome, qt.Equals, OutcomeCompleted)
	c.Assert(end.Bytes, qt.Equals, int64(largeAnswerBytes))
	line, _, _ := strings.Cut(answer.String(), "\n")
	c.Assert(answer.String() == standin.GeneratedText(line, largeAnswerBytes), qt.IsTrue)
}

// startEntry runs an entry instance with two pools of stand-in servers and returns
// its caller address.
func startEntry(c *qt.C) string {
	entry := entrySettings(c)
	app := New(entry, slog.New(slog.DiscardHandler))
	c.Assert(app.Err(), qt.IsNil)
	c.Assert(app.Start(c.Context()), qt.IsNil)
	c.Cleanup(func() { c.Check(app.Stop(context.Background()), qt.IsNil) })
	return entry.CallerAddress
}

// entrySettings starts two pools of stand-in servers and returns settings that use
// them.
func entrySettings(c *qt.C) settings.Entry {
	encoder := startServer(c, standin.NewBackend(standin.BackendConfig{ID: "e1", Slots: 4}).Handler())
	engine := startServer(c, standin.NewBackend(standin.BackendConfig{
		ID: "g1", Slots: 4, AnswerBytes: largeAnswerBytes, ChunkBytes: 4096, ServiceTime: 10 * time.Millisecond,
	}).Handler())
	list := &standin.InstanceList{}
	list.Set([]platform.Member{
		{ID: "e1", Role: platform.RoleBackend, Address: encoder, Pool: "encoders", State: platform.StateLive},
		{ID: "g1", Role: platform.RoleBackend, Address: engine, Pool: "engines", State: platform.StateLive},
	})
	files := c.TempDir()
	c.Assert(os.WriteFile(filepath.Join(files, "deployment.jsonc"), []byte(deploymentFile), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(files, "notes.pipeline.jsonc"), []byte(pipelineFile), 0o600), qt.IsNil)
	return settings.Entry{
		Instance: "entry-1", CallerAddress: freeAddress(c), AdminAddress: freeAddress(c), DrainGraceMS: 1,
		PlatformAddress: startServer(c, list.Handler()), PipelineFiles: files,
	}
}

func startServer(c *qt.C, handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// freePort returns ports that are free for TCP and UDP and outside the range that the
// system assigns to outgoing connections, which could take one before the test binds it.
var freePort = standin.FreePorts()

func freeAddress(c *qt.C) string {
	port, err := freePort()
	c.Assert(err, qt.IsNil)
	return net.JoinHostPort(standin.Host, strconv.Itoa(port))
}
