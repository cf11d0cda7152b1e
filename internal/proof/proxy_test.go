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

// faultProxy is a proxy to one address that injects network faults.
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

// blackhole drops all bytes in both directions until heal, as a network partition
// does: connections stay open, and there are no answers.
func (p *faultProxy) blackhole() {
	for _, stream := range []string{"upstream", "downstream"} {
		p.addToxic("blackhole-"+stream, "timeout", stream, `"timeout": 0`)
	}
}

// delayAnswers delays each answer.
func (p *faultProxy) delayAnswers(milliseconds int) {
	p.addToxic("slow", "latency", "downstream", fmt.Sprintf(`"latency": %d`, milliseconds))
}

func (p *faultProxy) addToxic(name, kind, stream, attributes string) {
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": {%s}}`, name, kind, stream, attributes)
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(document))
	p.c.Assert(err, qt.IsNil)
}

// heal removes all faults. Connections that were open during a blackhole are broken.
func (p *faultProxy) heal() {
	p.proxy.Toxics.ResetToxics(context.Background())
}
