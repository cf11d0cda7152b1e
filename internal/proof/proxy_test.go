package proof

import (
	"context"
	"fmt"
	"strings"

	"github.com/Shopify/toxiproxy/v2"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// route is a fault-injecting proxy to one address.
type route struct {
	c     *qt.C
	proxy *toxiproxy.Proxy
}

func newProxies() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
}

func newRoute(c *qt.C, server *toxiproxy.ApiServer, name, upstream string) *route {
	proxy := toxiproxy.NewProxy(server, name, standin.Host+":0", upstream)
	c.Assert(proxy.Start(), qt.IsNil)
	r := &route{c: c, proxy: proxy}
	c.Cleanup(func() {
		r.mend()
		proxy.Stop()
	})
	return r
}

func (r *route) address() string { return r.proxy.Listen }

// cut lets no byte through in either direction until mend, as a partition does:
// connections stay open and nothing answers.
func (r *route) cut() {
	for _, stream := range []string{"upstream", "downstream"} {
		r.toxic("cut-"+stream, "timeout", stream, `"timeout": 0`)
	}
}

// slow delays each answer.
func (r *route) slow(milliseconds int) {
	r.toxic("slow", "latency", "downstream", fmt.Sprintf(`"latency": %d`, milliseconds))
}

func (r *route) toxic(name, kind, stream, attributes string) {
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": {%s}}`, name, kind, stream, attributes)
	_, err := r.proxy.Toxics.AddToxicJson(strings.NewReader(document))
	r.c.Assert(err, qt.IsNil)
}

// mend removes all faults. Connections that were cut are broken.
func (r *route) mend() {
	r.proxy.Toxics.ResetToxics(context.Background())
}
