package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// LogWriter passes log lines on without ever blocking their writer. Lines that
// find its queue full are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	// ending is closed by Close, done when all lines are written.
	ending chan struct{}
	done   chan struct{}
}

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 4096
	// batchBytes is written at once.
	batchBytes = 16 << 10
	// dropReport is how often dropped lines are reported.
	dropReport = 5 * time.Second
)

// NewLogWriter returns a writer to out. Close it at the end.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, queuedLines), out: out, ending: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.ending:
			for len(w.lines) > 0 {
				w.writeBatch(<-w.lines)
			}
			return
		}
	}
}

// writeBatch writes a line and those that wait behind it.
func (w *LogWriter) writeBatch(line []byte) {
	batch := bytes.Clone(line)
	for len(batch) < batchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	_, _ = w.out.Write(batch) // there is nowhere to report it
}

// ReportDropped logs the number of dropped lines until the context ends.
func (w *LogWriter) ReportDropped(ctx context.Context, logger *slog.Logger) {
	clock.Every(ctx, dropReport, func() {
		if n := w.dropped.Swap(0); n > 0 {
			events.LinesDropped.Log(ctx, logger, slog.Int64("lines", n))
		}
	})
}

// Close writes what is queued. Lines that are written afterwards are lost.
func (w *LogWriter) Close() {
	close(w.ending)
	<-w.done
}
