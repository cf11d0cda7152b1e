package claims

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// Guards against a grant that is based only on a stale read: if every read of the store
// returns stale data, only the compare-and-swap shows that another instance holds the
// key.
func TestStaleReadsGrantNoKeyTwice(t *testing.T) {
	const keys = 20
	c := qt.New(t)
	service := standin.NewStore()
	server := httptest.NewServer(service.Handler())
	c.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	claimKey := func(a *Appender, key, token int) (claim.Verdict, error) {
		op := claim.Op{Kind: claim.OpClaim, ID: claim.ID{0, byte(key)}, Token: claim.Token{byte(token)}, Holder: fmt.Sprint(token), Retention: time.Hour}
		decisions, err := a.appendBatch(c.Context(), []*pending{{op: op}})
		if err != nil {
			return 0, err
		}
		return decisions[0].Verdict, nil
	}
	first := newTestAppender(store.NewHTTP(address))
	for key := range keys {
		verdict, err := claimKey(first, key, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(verdict, qt.Equals, claim.Granted)
	}
	for _, share := range []float64{1, 0.5} {
		service.SetFaults(standin.StoreFaults{StaleShare: share, StaleMS: 60000, WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
		second := newTestAppender(store.NewHTTP(address))
		for key := range keys {
			verdict, err := claimKey(second, key, 2)
			c.Assert(err != nil || verdict == claim.Running, qt.IsTrue, qt.Commentf("key %d, verdict %v", key, verdict))
			c.Assert(err == nil || share == 1, qt.IsTrue, qt.Commentf("key %d: %v", key, err))
		}
	}
}
