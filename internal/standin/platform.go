package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
)

// Platform is a stand-in of the platform's instance list.
type Platform struct {
	mu      sync.Mutex
	members []platform.Member
}

// Set replaces the listed members.
func (p *Platform) Set(members []platform.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = slices.Clone(members)
}

// Handler serves the list.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.PathList, p.serveList).Methods(http.MethodGet)
	return router
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	members := slices.Clone(p.members)
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(members)
}
