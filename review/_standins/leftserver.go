package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Bounds of the sheet of tavares-ginja.
const (
	drainTime   = 2500 * time.Millisecond // drain-ms
	contactTime = 4 * time.Second         // contact-ms
)

// Times of each round of leftServer.
const (
	rounds     = 5
	resetTime  = time.Second             // the reader's calls to the store are reset
	joinDelay  = 1300 * time.Millisecond // from the end of that to the start of another replica
	leaveDelay = 600 * time.Millisecond  // from that to the removal of the entry of an old one
	lingerTime = 8 * time.Second         // the replica goes on serving, "at times many seconds"
	pauseTime  = time.Second             // from its exit to the next round
)

const (
	ordersHost = "orders.example"
	ordersPath = "/batch/"
	ordersKey  = "9dnn2ctnfzs989anu6ws"
)

// ordersConfiguration is a configuration with one route that must not be repeated.
func ordersConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-orders", "host": ordersHost, "prefix": ordersPath, "kind": "non_idempotent", "timeout-ms": 1500,
			"target-latency-ms": 150, "priority": 2, "service": "registo-lotes", "max-attempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": "registo-lotes", "health-path": "/health", "max-connections": 110}},
		"tenants":  []map[string]any{{"name": "bozi300", "api-keys": []string{ordersKey}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
}

// leftServer: the calls of one machine to the store, the reader of its region, are reset for a
// second. Soon after that a replica is replaced (release): another one starts, and the old one,
// which never reports draining, leaves. Its entry is removed, it serves on for 8 s and exits.
// DRAIN: no request may reach it later than 2.5 s after the removal. Only requests of the
// gateways that were not disturbed count.
func leftServer(s *scene) error {
	st := newStore()
	st.put("op/config", ordersConfiguration(7))
	regions := map[string]string{"norte-adega": "norte", "norte-linha": "norte"}
	zones := []string{"norte-adega", "norte-linha", "norte-adega", "norte-linha"}
	gateways, err := newGateways(s.folder, zones, regions, st)
	if err != nil {
		return err
	}
	names := 0
	join := func() (*replica, error) {
		names++
		p, err := startReplica(fmt.Sprintf("i-%08x", 0x7f3a0000+names), "registo-lotes", zones[names%2], 6, 30*time.Millisecond, s.record)
		if err == nil {
			st.put(p.key(), p.entry("ready", 1))
			s.record.add("replica %s joins", p.id)
		}
		return p, err
	}
	var replicas []*replica
	for range 3 {
		p, err := join()
		if err != nil {
			return err
		}
		defer p.exit()
		replicas = append(replicas, p)
	}
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	if err := startAll(gateways); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // the gateways choose the reader and read the registrations
	c := &clients{record: s.record}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	late, lost := 0, 0
	first := ""
	for _, g := range gateways {
		c.run(ctx, g, 60*time.Millisecond, "POST", ordersHost, ordersPath+"1", ordersKey)
	}
	for round := 1; round <= rounds; round++ {
		r := reader(gateways, 2500*time.Millisecond)
		if r == nil {
			return errors.New("no gateway watches the store")
		}
		s.record.say("round %d: the reader is %s", round, r.name)
		if s.trouble {
			r.path.setResets(true)
			s.record.add("store   resets the calls of %s", r.name)
		}
		time.Sleep(resetTime)
		r.path.setResets(false)
		troubleEnded := time.Now()
		s.record.add("store   serves %s again", r.name)
		time.Sleep(joinDelay)
		p, err := join()
		if err != nil {
			return err
		}
		defer p.exit()
		time.Sleep(leaveDelay)
		leaving := replicas[0]
		replicas = append(replicas[1:], p)
		removed := st.remove(leaving.key())
		s.record.say("round %d: the entry of %s is removed %d ms after the end of the resets", round, leaving.id, removed.Sub(troubleEnded).Milliseconds())
		time.Sleep(lingerTime)
		leaving.exit()
		s.record.add("replica %s exits", leaving.id)
		bound := removed.Add(drainTime)
		count := 0
		for _, run := range leaving.takeRuns() {
			if run.gateway == r.name || run.at.Before(bound) || run.at.Before(troubleEnded.Add(contactTime)) {
				continue
			}
			if count++; first == "" {
				first = fmt.Sprintf("request %s reached %s from %s %d ms after the removal of its entry was acknowledged (bound %d ms)", run.id, leaving.id, run.gateway, run.at.Sub(removed).Milliseconds(), drainTime.Milliseconds())
			}
		}
		late += count
		s.record.say("round %d: %d requests of undisturbed gateways reached it too late", round, count)
		time.Sleep(pauseTime)
		if count > 0 && round >= 2 {
			break
		}
	}
	cancel()
	c.wait.Wait()
	for _, a := range c.got {
		if a.status == 502 || a.status == 0 {
			lost++
		}
	}
	s.record.say("answers by status: %v; %d orders ended without an answer of their replica", c.byStatus(), lost)
	if late > 0 {
		return errBroken{fmt.Sprintf("DRAIN: %d requests; the first: %s", late, first)}
	}
	return nil
}
