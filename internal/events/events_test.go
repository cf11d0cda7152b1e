package events

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/samber/oops"
)

// Guards against log lines without the code and the context of an adapter's error
// when a layer above has wrapped that error, and against stack traces in the log.
func TestLogShowsContextOfWrappedErrors(t *testing.T) {
	c := qt.New(t)
	sentinel := errors.New("store is unavailable")
	err := fmt.Errorf("write job: %w", oops.In("store").Code("call_failed").With("path", "/v1/keys/job/7").Wrap(sentinel))
	c.Assert(errors.Is(err, sentinel), qt.IsTrue)
	var out bytes.Buffer
	StageRetried.Log(c.Context(), slog.New(slog.NewTextHandler(&out, nil)), slog.Any("error", err))
	c.Assert(out.String(), qt.Contains, `error="write job: store is unavailable" domain=store code=call_failed path=/v1/keys/job/7`)
	c.Assert(out.String(), qt.Not(qt.Contains), "events_test.go")
}
