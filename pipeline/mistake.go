package pipeline

import (
	"fmt"
	"slices"
	"strings"
)

// Mistake is one mistake in the operators' files.
type Mistake struct {
	// File is the path below the folder of the operators' files; empty when the
	// set was not read from files.
	File string
	// Line and Column count from 1; 0 when the position is unknown.
	Line, Column int
	Message      string
}

func (m Mistake) String() string {
	switch {
	case m.File == "":
		return m.Message
	case m.Line == 0:
		return m.File + ": " + m.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Column, m.Message)
}

// Mistakes lists the mistakes of a set. As an error it has at least one.
type Mistakes []Mistake

func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the mistakes in place by file and position, and returns them.
func (m Mistakes) sorted() Mistakes {
	slices.SortStableFunc(m, func(a, b Mistake) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return m
}
