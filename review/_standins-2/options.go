package main

import "time"

func init() { cases["options"] = playOptions }

// playOptions plays a client that asks for the options of the whole server, at a path without a
// route. In calm it asks for those of a route, which a replica answers.
func playOptions(s *scene) {
	d := newDeployment()
	g := newGateway(s.folder, "front-norte-adega-1", freeAddress(), gatewayOptions{zone: "norte-adega", memoryMB: 284, maxFDs: 4100, store: d.storeAddress})
	g.start()
	if !g.awaitReady(10 * time.Second) {
		fatal("gateway is not ready")
	}
	time.Sleep(5 * time.Second)
	target := pathLook + "2f"
	if s.trouble {
		target = "*"
	}
	for range 5 {
		id := newID()
		a := send(g.client, "OPTIONS", target, id, 2*time.Second, nil, "")
		s.note("request %s, OPTIONS %s: the client gets %v; runs: %d", id, target, a, len(d.runs.of(id)))
		if a.status >= 200 && a.status < 300 && a.header.Get("Response-Signature") == "" {
			s.breakRule("MIXED: success %d without the replica's Response-Signature", a.status)
		}
	}
}
