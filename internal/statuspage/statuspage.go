// Package statuspage serves the state of an instance as JSON to operators.
package statuspage

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Path is the path of the status on the address for operators. The answer is a JSON
// object with one member per section.
const Path = "/v1/status"

// Status serves the status of the instance. Each part of the daemon registers its
// own section.
type Status struct {
	mu       sync.Mutex
	sections map[string]func() any
}

// Add registers a section. The function is called at each request, and its result
// is encoded as JSON.
func (s *Status) Add(name string, section func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sections == nil {
		s.sections = map[string]func() any{}
	}
	s.sections[name] = section
}

func (s *Status) values() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]any, len(s.sections))
	for name, section := range s.sections {
		values[name] = section()
	}
	return values
}

// ServeHTTP answers with all sections.
func (s *Status) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.values())
}
