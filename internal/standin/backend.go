// Package standin implements stand-ins (fakes) of external systems: backend servers,
// the key-value service, the instance list and the weight store. Tests, the demo and
// the experiments run against them. They inject faults and record the requests that
// they receive.
package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// BackendConfig describes a stand-in backend server.
type BackendConfig struct {
	ID string
	// Pool is the name of the pool in the records of runs.
	Pool string
	// Slots is the number of requests that run concurrently; further ones are queued.
	Slots int
	// ServiceTime is how long one request takes without a slowdown and without
	// concurrent requests.
	ServiceTime time.Duration
	// LoadFactor is the fraction by which the service time grows when all slots are
	// busy: 1 doubles it.
	LoadFactor float64
	// AnswerBytes is the default length of a generated answer.
	AnswerBytes int
	// ChunkBytes is the length of one chunk of a generated answer.
	ChunkBytes int
	// LoadLag is the age at which a load report is renewed. Until then the old report
	// is returned.
	LoadLag time.Duration
	// Incarnation increases with each restart of the server.
	Incarnation int64
	// Engine configures a model engine; other stage types do not use it.
	Engine EngineConfig
	// Seed seeds the random choice of faults.
	Seed uint64
}

// Backend is a stand-in backend server of any stage type.
type Backend struct {
	config BackendConfig
	slots  *slots
	faults *backendFaultInjector
	runs   *runLog
	load   loadReports
	engine *engine
}

// NewBackend returns a backend server without faults.
func NewBackend(config BackendConfig) *Backend {
	return &Backend{
		config: config,
		slots:  &slots{total: config.Slots},
		runs:   &runLog{},
		faults: &backendFaultInjector{random: rand.New(rand.NewPCG(config.Seed, 1))},
		engine: newEngine(config),
	}
}

// restarted returns the server as it is after a restart: with the next incarnation,
// no running requests, and the same recorded runs and faults.
func (b *Backend) restarted() *Backend {
	config := b.config
	config.Incarnation++
	next := NewBackend(config)
	next.runs, next.faults = b.runs, b.faults
	return next
}

// SetSlowdown multiplies the service time.
func (b *Backend) SetSlowdown(factor float64) {
	b.faults.change(func(f *BackendFaults) { f.Slowdown = factor })
}

// SetDraining makes the server refuse new requests, as a draining server does.
func (b *Backend) SetDraining(draining bool) {
	b.faults.change(func(f *BackendFaults) { f.Draining = draining })
}

// Faults returns the faults in force.
func (b *Backend) Faults() BackendFaults { return b.faults.get() }

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.faults.change(func(f *BackendFaults) { *f = faults.clone() })
}

// Runs returns a copy of the recorded runs.
func (b *Backend) Runs() []Run { return b.runs.after(0) }

// Handler serves the stage protocol, the engine paths and the admin paths.
func (b *Backend) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(backend.PathStage+"{type}", b.serveStage).Methods(http.MethodPost)
	router.HandleFunc(backend.PathLoad, b.serveLoad).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, serveFaults(b.Faults, b.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(PathRuns, b.serveRuns).Methods(http.MethodGet)
	b.engine.register(router)
	return router
}

// serveRuns returns the runs that follow the first "after" ones, a query parameter.
func (b *Backend) serveRuns(w http.ResponseWriter, r *http.Request) {
	position, _ := strconv.Atoi(r.URL.Query().Get("after"))
	writeJSON(w, http.StatusOK, b.runs.after(position))
}

func (b *Backend) serveStage(w http.ResponseWriter, r *http.Request) {
	if b.faults.get().Draining {
		refuse(w, r, backend.Refusal{Draining: true})
		return
	}
	var body backend.Body
	if !readJSON(w, r, &body) {
		return
	}
	fault := b.faults.draw()
	if fault == FaultRefuse || !b.engine.serves(body.Model) {
		refuse(w, r, backend.Refusal{})
		return
	}
	if !b.slots.acquire(r.Context(), rank(r, body)) {
		return
	}
	defer b.slots.release()
	b.execute(w, r, body, fault)
}

// refuse answers that an attempt did not run.
func refuse(w http.ResponseWriter, r *http.Request, refusal backend.Refusal) {
	refusal.Refused, refusal.Attempt = true, r.Header.Get(backend.HeaderAttempt)
	writeJSON(w, http.StatusServiceUnavailable, refusal)
}

// rank returns the rank of a queued request: by class, then by the priority of the
// request.
func rank(r *http.Request, body backend.Body) int {
	const prioritiesPerClass = 100
	priority, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get(backend.HeaderPriority), "u="))
	class := map[pipeline.Class]int{pipeline.ClassInteractive: 2, pipeline.ClassNormal: 1}[pipeline.Class(body.Class)]
	return class*prioritiesPerClass + priority
}

// execute records the run of a request and sends its answer, or applies the fault.
func (b *Backend) execute(w http.ResponseWriter, r *http.Request, body backend.Body, fault Fault) {
	stageType := pipeline.StageType(mux.Vars(r)["type"])
	record := newRun(b.config, r.Header.Get(backend.HeaderAttempt), stageType, body)
	record.Fault = fault
	if stageType == pipeline.StageGenerate {
		record.AnswerBytes = b.answerBytes(body)
	}
	run := b.runs.start(record)
	finished := false
	defer func() { b.runs.end(run, finished) }()
	s := &stageResponse{backend: b, w: w, r: r, run: record, body: body}
	if record.Fault == FaultCrossed {
		s.run.Attempt = "another-" + record.Attempt
	}
	finished = s.serve()
}

// serviceTime returns how long a request takes under the current load.
func (b *Backend) serviceTime() time.Duration {
	running, _ := b.slots.load()
	load := 0.0
	if b.config.Slots > 1 {
		load = float64(running-1) / float64(b.config.Slots-1)
	}
	factor := b.faults.slowdown() * (1 + b.config.LoadFactor*load)
	return time.Duration(float64(b.config.ServiceTime) * factor)
}

// output is the answer of every stage type except generate.
type output struct {
	Server    string             `json:"server"`
	Stage     pipeline.StageType `json:"stage"`
	RequestID string             `json:"request_id,omitempty"`
	Input     json.RawMessage    `json:"input"`
}
