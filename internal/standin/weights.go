package standin

import (
	"net/http"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// PathWeights is the path below which the weight store serves weights by name.
const PathWeights = "/v1/weights/"

// WeightStore is a stand-in of the weight store, which limits the rate of loads and
// refuses those above it.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore returns a weight store with a rate limit in loads per minute; 0 means
// no limit.
func NewWeightStore(loadsPerMinute float64) *WeightStore {
	if loadsPerMinute == 0 {
		return &WeightStore{limiter: rate.NewLimiter(rate.Inf, 0)}
	}
	const secondsPerMinute = 60
	burst := max(1, int(loadsPerMinute/secondsPerMinute))
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(loadsPerMinute/secondsPerMinute), burst)}
}

// Allow reports whether a load may start now. A nil store allows every load.
func (s *WeightStore) Allow() bool {
	return s == nil || s.limiter.Allow()
}

// Handler answers a load with status 200, or 429 when it exceeds the rate limit.
func (s *WeightStore) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathWeights+"{name:.+}", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}).Methods(http.MethodGet)
	return router
}
