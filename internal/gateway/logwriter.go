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

// LogWriter writes log lines in the background, so that logging never blocks. Lines
// are dropped and counted while its queue is full.
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
	// targetBatchBytes is the size from which a batch gets no more lines.
	targetBatchBytes = 16 << 10
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// NewLogWriter returns a LogWriter that writes to out until it is closed.
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

// writeBatch writes a line together with the queued lines after it.
func (w *LogWriter) writeBatch(line []byte) {
	batch := bytes.Clone(line)
	for len(batch) < targetBatchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	_, _ = w.out.Write(batch) // an error of the log itself cannot be logged
}

// ReportDropped logs the number of dropped lines until the context ends.
func (w *LogWriter) ReportDropped(ctx context.Context, logger *slog.Logger) {
	clock.Every(ctx, dropReportInterval, func() {
		if n := w.dropped.Swap(0); n > 0 {
			events.LogLinesDropped.Log(ctx, logger, slog.Int64("lines", n))
		}
	})
}

// Close writes the queued lines and stops the writer. Lines that are written afterwards
// are lost.
func (w *LogWriter) Close() {
	close(w.closing)
	<-w.done
}
