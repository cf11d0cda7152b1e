package entry

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// stoppingDaemon is a daemon that received a stop signal while one request runs.
type stoppingDaemon struct {
	entry   settings.Entry
	signals chan os.Signal
	// release lets the running request finish.
	release chan struct{}
	answer  chan int
	result  chan error
	log     *syncBuffer
}

// syncBuffer is a log buffer that may be read while a shutdown that returned early
// still writes to it in the background.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startAndSignal runs a daemon, starts a request that blocks and sends a signal.
func startAndSignal(c *qt.C, entry settings.Entry, options ...fx.Option) *stoppingDaemon {
	s := &stoppingDaemon{
		entry: entry, signals: make(chan os.Signal, 2), release: make(chan struct{}),
		answer: make(chan int, 1), result: make(chan error, 1), log: &syncBuffer{},
	}
	called := make(chan struct{}, 2)
	caller := &fakeCaller{answer: func(context.Context, string, backend.StageRequest) (backend.StageStream, error) {
		called <- struct{}{}
		<-s.release
		return completeStream(`1`), nil
	}}
	options = append(options, fx.Decorate(func() backend.Caller { return caller }))
	logger := slog.New(slog.NewTextHandler(s.log, nil))
	go func() { s.result <- run(context.Background(), s.signals, entry, logger, options...) }()
	for ready(entry) != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	go func() {
		url := "http://" + entry.CallerAddress + "/v1/organisations/acme/pipelines/notes/kinds/note"
		response, err := http.Post(url, "application/json", strings.NewReader("{}"))
		if err != nil {
			s.answer <- 0
			return
		}
		s.answer <- response.StatusCode
		_ = response.Body.Close()
	}()
	<-called
	s.signals <- syscall.SIGTERM
	return s
}

// ready returns the status of the readiness check, 0 when it does not answer.
func ready(entry settings.Entry) int {
	response, err := http.Get("http://" + entry.AdminAddress + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a graceful shutdown that cuts off a request, closes the listener
// while the instance is still ready, or runs its steps out of order.
func TestGracefulShutdown(t *testing.T) {
	c := qt.New(t)
	entry := entrySettings(c)
	var steps []string
	var s *stoppingDaemon
	withdrawn := make(chan struct{})
	addSteps := func(registry *StopSteps) {
		add := func(phase StopPhase, name string) {
			registry.Add(StopStep{phase, name, func(context.Context) error {
				steps = append(steps, name)
				return context.Canceled
			}})
		}
		add(StopLeases, "leases")
		add(StopMembership, "membership")
		add(StopClaims, "claims")
		add(StopJobs, "jobs")
		registry.Add(StopStep{StopCallers, "before", func(context.Context) error {
			defer close(withdrawn)
			c.Check(ready(entry), qt.Equals, http.StatusServiceUnavailable)
			response, err := http.Get("http://" + entry.CallerAddress + "/nowhere")
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusNotFound)
			c.Check(response.Close, qt.IsTrue)
			return response.Body.Close()
		}})
	}
	s = startAndSignal(c, entry, fx.Invoke(addSteps))
	<-withdrawn
	close(s.release)
	c.Assert(<-s.answer, qt.Equals, http.StatusOK)
	c.Assert(<-s.result, qt.IsNil)
	c.Assert(steps, qt.DeepEquals, []string{"jobs", "claims", "membership", "leases"})
	c.Assert(s.log.String(), qt.Contains, "event=1003")
}

// Guards against a second signal or an expired deadline that is ignored, and
// against an early end that does not report the number of requests cut off.
func TestShutdownCutOff(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		deadlineMS int64
		signal     bool
		cause      string
	}{
		{0, true, "signal"},
		{50, false, "deadline"},
	} {
		entry := entrySettings(c)
		entry.ShutdownDeadlineMS = test.deadlineMS
		s := startAndSignal(c, entry)
		if test.signal {
			s.signals <- syscall.SIGTERM
		}
		c.Check(<-s.result, qt.ErrorIs, ErrCutOff)
		c.Check(s.log.String(), qt.Contains, "event=1004 cause="+test.cause+" requests=1")
		close(s.release)
		<-s.answer
	}
}

// Guards against a shutdown deadline that is shorter than the longest request of
// the configuration.
func TestShutdownDeadline(t *testing.T) {
	c := qt.New(t)
	set := &pipeline.Set{Pipelines: []pipeline.Pipeline{
		{Kinds: []pipeline.Kind{{MaxWaitMS: 3000}, {MaxWaitMS: 90000}}}, {Kinds: []pipeline.Kind{{MaxWaitMS: 10}}},
	}}
	c.Assert(shutdownDeadline(settings.Entry{}, set), qt.Equals, 95*time.Second)
	c.Assert(shutdownDeadline(settings.Entry{}, nil), qt.Equals, 5*time.Second)
	c.Assert(shutdownDeadline(settings.Entry{ShutdownDeadlineMS: 7000}, set), qt.Equals, 7*time.Second)
}
