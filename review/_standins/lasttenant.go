package main

import (
	"context"
	"fmt"
	"time"
)

// Times of lastTenant.
const (
	configTime    = 2500 * time.Millisecond // config-apply-ms
	observeTime   = 8 * time.Second         // after that
	unknownKey    = "zz00neverheld00key00"  // no configuration ever held it
	sendInterval  = 100 * time.Millisecond
	beforeRevoked = 3 * time.Second
)

// lastTenant: the operator takes away the only key. Its new configuration has an empty list of
// tenants; without the disruption, the tenant stays in the list and has no key. ROUTE: no
// request may run whose key no configuration ever held. CONFIG: none may run with a dropped key
// that was sent later than 2.5 s after the acknowledgement.
func lastTenant(s *scene) error {
	st := newStore()
	st.put("op/config", ordersConfiguration(7))
	regions := map[string]string{"norte-adega": "norte", "norte-linha": "norte"}
	zones := []string{"norte-adega", "norte-linha", "norte-adega"}
	gateways, err := newGateways(s.folder, zones, regions, st)
	if err != nil {
		return err
	}
	var replicas []*replica
	for i := range 2 {
		p, err := startReplica(fmt.Sprintf("i-%08x", 0x7f3a0001+i), "registo-lotes", zones[i], 6, 30*time.Millisecond, s.record)
		if err != nil {
			return err
		}
		defer p.exit()
		st.put(p.key(), p.entry("ready", 1))
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
	time.Sleep(settleTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held, unknown := &clients{record: s.record}, &clients{record: s.record}
	for _, g := range gateways {
		held.run(ctx, g, sendInterval, "POST", ordersHost, ordersPath+"1", ordersKey)
		unknown.run(ctx, g, sendInterval, "POST", ordersHost, ordersPath+"1", unknownKey)
	}
	time.Sleep(beforeRevoked)
	next := ordersConfiguration(9)
	if s.trouble {
		next["tenants"] = []any{}
	} else {
		next["tenants"] = []map[string]any{{"name": "bozi300", "api-keys": []string{}}}
	}
	acknowledged := st.put("op/config", next)
	s.record.say("version 9 is acknowledged: tenants %v", next["tenants"])
	time.Sleep(configTime + observeTime)
	cancel()
	held.wait.Wait()
	unknown.wait.Wait()
	ran := map[string]bool{}
	for _, p := range replicas {
		for _, run := range p.takeRuns() {
			ran[run.id] = true
		}
	}
	count := func(c *clients, after time.Time) (n int) {
		for _, a := range c.got {
			if ran[a.id] && a.sent.After(after) {
				n++
			}
		}
		return n
	}
	never, dropped := count(unknown, time.Time{}), count(held, acknowledged.Add(configTime))
	s.record.say("answers with the key that was taken away: %v; with a key that never existed: %v", held.byStatus(), unknown.byStatus())
	if never > 0 {
		return errBroken{fmt.Sprintf("ROUTE: %d requests ran whose key no configuration ever held; CONFIG: %d ran with the dropped key, sent over 2.5 s after the acknowledgement", never, dropped)}
	}
	if dropped > 0 {
		return errBroken{fmt.Sprintf("CONFIG: %d requests ran with a dropped key", dropped)}
	}
	return nil
}
