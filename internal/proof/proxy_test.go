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
type faultProxy struct {
	c     *qt.C
	proxy *toxiproxy.Proxy
}

func newProxies() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
}

func newFaultProxy(c *qt.C, server *toxiproxy.ApiServer, name, upstream string) *faultProxy {
	proxy := toxiproxy.NewProxy(server, name, standin.Host+":0", upstream)
	c.Assert(proxy.Start(), qt.IsNil)
	p := &faultProxy{c: c, proxy: proxy}
	c.Cleanup(func() {
		p.heal()
		proxy.Stop()
	})
	return p
}

func (p *faultProxy) address() string { return p.proxy.Listen }

// cut lets no byte through in either direction until mend, as a partition does:
// connections stay open and nothing answers.
func (p *faultProxy) blackhole() {
	for _, stream := range []string{"upstream", "downstream"} {
		p.addToxic("cut-"+stream, "timeout", stream, `"timeout": 0`)
	}
}

// slow delays each answer.
func (p *faultProxy) delayAnswers(milliseconds int) {
	p.addToxic("slow", "latency", "downstream", fmt.Sprintf(`"latency": %d`, milliseconds))
}

func (p *faultProxy) addToxic(name, kind, stream, attributes string) {
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": {%s}}`, name, kind, stream, attributes)
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(document))
	p.c.Assert(err, qt.IsNil)
}

// mend removes all faults. Connections that were cut are broken.
func (p *faultProxy) heal() {
	p.proxy.Toxics.ResetToxics(context.Background())
}
