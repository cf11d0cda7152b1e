package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Admin paths of the stand-ins. GET reads; PUT replaces the fields that are set in
// the JSON document.
const (
	PathFaults = "/admin/faults"
	PathCounts = "/admin/counts"
	PathRuns   = "/admin/runs"
)

// maxDocumentBytes is the size limit of a JSON document that a stand-in reads.
const maxDocumentBytes = 32 << 20

// writeJSON sends a JSON document as the whole response body.
func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

// readJSON decodes the request body into a document. Fields that the body does not
// set keep their values. On an error it answers with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	// Read the body to its end: until then net/http does not detect that the caller
	// has disconnected.
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// serveFaults serves GET and PUT of PathFaults for one type of faults.
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
