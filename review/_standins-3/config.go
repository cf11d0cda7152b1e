package main

// engineRoute is the path prefix of the route to the model replicas.
const engineRoute = "/notas/"

// host is the host of all routes.
const host = "ginja.example"

// key and secondKey are the keys of the only tenant.
const (
	key       = "9dnn2ctnfzs989anu6ws"
	secondKey = "jnbanfqasnmgkcuyj8pj"
)

// configuration is a version of the operator's configuration: one route to the model replicas,
// and one that is not idempotent to a plain service.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "nota-turno", "host": host, "prefix": engineRoute, "kind": "stream", "timeout-ms": 20000, "target-latency-ms": 2500,
				"priority": 2, "service": "assistente-ml", "max-attempts": 2, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 200},
			{"name": "ordem-lote", "host": host, "prefix": "/lotes/", "kind": "non_idempotent", "timeout-ms": 20000, "target-latency-ms": 150,
				"priority": 2, "service": "registo-lotes", "max-attempts": 1, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "assistente-ml", "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv-capacity": 373616, "kv-token-bytes": 163840, "link-mbps": 740000.0,
					"moves": true, "backups": true, "stride": 3, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
					"models": []map[string]string{{"name": "m"}}}},
			{"name": "registo-lotes", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "api-keys": keys, "priority": 1}},
	}
}
