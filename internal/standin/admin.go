package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Admin paths of every stand-in. GET reads, PUT replaces the fields that the
// JSON document names.
const (
	PathFaults = "/admin/faults"
	PathCounts = "/admin/counts"
	PathRuns   = "/admin/runs"
)

// maxDocumentBytes bounds a JSON document that a stand-in reads.
const maxDocumentBytes = 32 << 20

// writeJSON sends a JSON document as the whole answer.
func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

// readJSON reads a JSON document over into, whose other fields keep their
// values. It answers a mistake with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	// The body is read to its end: before that, net/http doesn't notice that a
	// caller went away.
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// serveFaults serves faults of one type over PathFaults.
func serveFaults[F any](get func() F, set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := get()
		if r.Method == http.MethodPut {
			if !readJSON(w, r, &faults) {
				return
			}
			set(faults)
		}
		writeJSON(w, http.StatusOK, faults)
	}
}
