package main

import (
	"fmt"
	"net"
	"net/http"
)

// object is a JSON object.
type object = map[string]any

// Names of the small deployment: its host, the key of its tenant, and the prefixes of its routes.
const (
	host         = "pule25.example"
	tenantKey    = "9dnn2ctnfzs989anu6ws"
	tenantName   = "bozi300"
	pathStream   = "/puxa400/" // resumable stream with stages
	pathOrder    = "/bobo563/" // non_idempotent
	pathLook     = "/wuhu344/" // idempotent
	modelService = "huvo11a"
	plainService = "wuno96b"
	stageService = "kafi81c"
)

// newConfiguration returns a configuration of the small deployment.
func newConfiguration(version int) object {
	route := func(name, prefix, kind, service string, more object) object {
		r := object{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": 6000, "target-latency-ms": 1100, "priority": 0, "max-attempts": 2, "service": service, "public": false}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return object{
		"version": version,
		"routes": []object{
			route("r-stream", pathStream, "stream", modelService, object{"resumable": true, "sticky": true, "target-gap-ms": 200, "stages": []object{{"service": stageService, "after": []int{}, "bytes": 8000}}}),
			route("r-order", pathOrder, "non_idempotent", plainService, nil),
			route("r-look", pathLook, "idempotent", plainService, nil),
		},
		"services": []object{
			{"name": modelService, "health-path": "/health", "max-connections": 370, "protocol": "h1", "engine": object{"slots": 64, "kv-capacity": 373616, "kv-token-bytes": 163840, "link-mbps": 740000.0, "handle-s": 5.0, "models": []object{{"name": "m"}}}},
			{"name": stageService, "health-path": "/health", "max-connections": 370, "protocol": "h1", "pieces": object{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200.0, "item-ms": 21.0, "headroom-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000}},
			{"name": plainService, "health-path": "/health", "max-connections": 110, "protocol": "h1"},
		},
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []object{{"name": tenantName, "api-keys": []string{tenantKey}, "priority": 1}},
	}
}

// deployment holds the stand-ins of a small deployment.
type deployment struct {
	store        *storeStandin
	storeAddress string
	runs         *runs
	replicas     []*replica
}

// newDeployment starts the store with the first configuration and two replicas of each service.
func newDeployment() *deployment {
	d := &deployment{store: newStoreStandin(), runs: &runs{}}
	d.storeAddress = serve(d.store)
	d.store.put("op/config", newConfiguration(1))
	for i, zone := range []string{"norte-adega", "norte-linha"} {
		for _, r := range []*replica{
			{service: modelService, slots: 64, events: 5, eventGap: 1e7},
			{service: stageService, slots: 1, work: 2e8},
			{service: plainService, slots: 6, work: 1e7},
		} {
			r.id, r.zone, r.runs = fmt.Sprintf("i-%s%d", r.service, i), zone, d.runs
			d.add(startReplica(r))
		}
	}
	return d
}

// add registers a replica.
func (d *deployment) add(r *replica) {
	d.replicas = append(d.replicas, r)
	d.store.put("servers/"+r.id, r.entry("ready"))
}

// serve serves a handler on a free loopback address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }() // ends with the process
	return listener.Addr().String()
}
