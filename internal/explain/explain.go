// Package explain finds the log lines of one request in the structured logs of
// several instances and prints them in the order of time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits the length of one line of a log.
const maxLineBytes = 1 << 20

// ErrNotFound reports that no line has the ID of the request.
var ErrNotFound = errors.New("no log line names the request")

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Event   int
	Level   string
	Message string
	// Source is the name of the file and the text that precedes the JSON in the line.
	Source string
	// Fields holds the other attributes by name.
	Fields map[string]any
}

// Find returns the lines of a log that have the ID of a request. Text before the
// JSON of a line, such as the name of the instance, becomes part of Source; lines
// without JSON are skipped.
func Find(source string, log io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, []byte(id)) {
			continue
		}
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parse(text[start:], id)
		if !ok {
			continue
		}
		line.Source = strings.TrimSpace(source + " " + strings.TrimSpace(string(text[:start])))
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", source, err)
	}
	return lines, nil
}

func parse(text []byte, id string) (Line, bool) {
	fields := map[string]any{}
	if err := json.Unmarshal(text, &fields); err != nil || fields["id"] != id {
		return Line{}, false
	}
	var line Line
	if at, ok := fields["time"].(string); ok {
		line.Time, _ = time.Parse(time.RFC3339Nano, at)
	}
	if event, ok := fields["event"].(float64); ok {
		line.Event = int(event)
	}
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "event", "level", "msg", "id"} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// Print writes the lines in the order of time, with the time since the first one.
func Print(out io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return ErrNotFound
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := lines[0].Time
	for _, line := range lines {
		_, err := fmt.Fprintf(out, "+%8.3f ms  %s  %d %s%s\n", float64(line.Time.Sub(first).Microseconds())/1000, line.Source, line.Event, line.Message, attributes(line.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

// attributes formats the fields, sorted by name.
func attributes(fields map[string]any) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&text, "  %s=%v", name, fields[name])
	}
	return text.String()
}
