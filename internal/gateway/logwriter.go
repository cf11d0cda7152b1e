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
	// closing is closed by Close, done when all lines are written.
	closing chan struct{}
	done    chan struct{}
}

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// targetBatchBytes is written at once.
	targetBatchBytes = 16 << 10
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = 5 * time.Second
)

// NewLogWriter returns a writer to out. Close it at the end.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, maxQueuedLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
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
		case <-w.closing:
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
	for len(batch) < targetBatchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	_, _ = w.out.Write(batch) // there is nowhere to report it
}

// ReportDropped logs the number of dropped lines until the context ends.
func (w *LogWriter) ReportDropped(ctx context.Context, logger *slog.Logger) {
	clock.Every(ctx, dropReportInterval, func() {
		if n := w.dropped.Swap(0); n > 0 {
			events.LinesDropped.Log(ctx, logger, slog.Int64("lines", n))
		}
	})
}

// Close writes what is queued. Lines that are written afterwards are lost.
func (w *LogWriter) Close() {
	close(w.closing)
	<-w.done
}
