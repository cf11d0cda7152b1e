package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"coltsfootdrift": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands whose output or exit code differs from docs/OPERATIONS.md.
// $STORE is the address of a stand-in store, $ADMIN that of a server whose status has
// two sections, and $PLATFORM that of a platform store with one quarantine.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(standin.NewStore().Handler())
			env.Defer(server.Close)
			env.Setenv("STORE", server.Listener.Addr().String())
			status := &statuspage.Status{}
			status.Add("configuration", func() any { return map[string]any{"revision": 7, "watching": true} })
			status.Add("peers", func() any { return map[string]any{"members": []any{map[string]any{"id": "entry-1"}}} })
			admin := httptest.NewServer(status)
			env.Defer(admin.Close)
			env.Setenv("ADMIN", admin.Listener.Addr().String())
			platformStore := httptest.NewServer(&quarantineStore{value: quarantineValue})
			env.Defer(platformStore.Close)
			env.Setenv("PLATFORM", platformStore.Listener.Addr().String())
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"exits": exits},
	})
}

const quarantineValue = `{"service":"model","parts":["aa","bb"],"until":"2026-12-04T12:00:00Z","crashes":3,"lifted":false}`

// quarantineStore is a platform store that holds one quarantine.
type quarantineStore struct {
	mu    sync.Mutex
	value string
}

func (s *quarantineStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"items":          []any{map[string]any{"key": "quarantines/q1", "value": []byte(s.value), "revision": 5, "lease": 9}},
			"store-revision": 5, "truncated": false,
		})
		return
	}
	var written struct {
		SetKeys []struct{ Value []byte } `json:"set-keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&written); err != nil || len(written.SetKeys) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.value = string(written.SetKeys[0].Value)
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": 6})
}

// exits runs a command and checks its exit code: exits CODE NAME ARG...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		got = coded.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, expected %d", got, want)
	}
}
