package main

import (
	"context"
	"fmt"
	"time"
)

// Times of unreadableEntry.
const (
	settleTime    = 8 * time.Second         // after the start of the gateways
	beatTime      = 1200 * time.Millisecond // heartbeat-ms: the replica writes its entry again
	foreignDelay  = 200 * time.Millisecond  // from a heartbeat to the foreign entry
	leaveTime     = 800 * time.Millisecond  // from that to the removal, before the next heartbeat
	unlistedTime  = 12 * time.Second        // the replica serves on without an entry, "at times many seconds"
	trafficBefore = 2 * time.Second
)

// unreadableEntry: between two heartbeats of a replica, another writer overwrites its entry with
// one that has a field of another type. Such an entry names no replica to use. Before its next
// heartbeat the replica leaves: the entry is removed, and the replica serves on for 12 s and
// exits. DRAIN: no request may reach it later than 2.5 s after the removal.
func unreadableEntry(s *scene) error {
	st := newStore()
	st.put("op/config", ordersConfiguration(7))
	regions := map[string]string{"norte-adega": "norte", "norte-linha": "norte"}
	zones := []string{"norte-adega", "norte-linha", "norte-adega"}
	gateways, err := newGateways(s.folder, zones, regions, st)
	if err != nil {
		return err
	}
	var replicas []*replica
	for i, zone := range zones {
		p, err := startReplica(fmt.Sprintf("i-%08x", 0x7f3a0001+i), "registo-lotes", zone, 6, 30*time.Millisecond, s.record)
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
	c := &clients{record: s.record}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, g := range gateways {
		c.run(ctx, g, 60*time.Millisecond, "POST", ordersHost, ordersPath+"1", ordersKey)
	}
	time.Sleep(trafficBefore)
	leaving := replicas[0]
	for range 3 {
		st.put(leaving.key(), leaving.entry("ready", 1)) // nothing but a heartbeat
		time.Sleep(beatTime)
	}
	st.put(leaving.key(), leaving.entry("ready", 1))
	time.Sleep(foreignDelay)
	if s.trouble {
		foreign := leaving.entry("ready", 2)
		foreign["slots"] = "6"
		st.put(leaving.key(), foreign)
		s.record.say("another writer overwrites the entry of %s: slots is a string", leaving.id)
	}
	time.Sleep(leaveTime)
	removed := st.remove(leaving.key())
	s.record.say("the entry of %s is removed", leaving.id)
	time.Sleep(unlistedTime)
	leaving.exit()
	s.record.say("replica %s exits", leaving.id)
	time.Sleep(time.Second)
	cancel()
	c.wait.Wait()
	late, first := 0, ""
	var last time.Time
	for _, run := range leaving.takeRuns() {
		if run.at.Before(removed.Add(drainTime)) {
			continue
		}
		if late++; first == "" {
			first = fmt.Sprintf("request %s reached %s from %s %d ms after the removal of its entry was acknowledged (bound %d ms)", run.id, leaving.id, run.gateway, run.at.Sub(removed).Milliseconds(), drainTime.Milliseconds())
		}
		last = run.at
	}
	s.record.say("answers by status: %v", c.byStatus())
	if late > 0 {
		return errBroken{fmt.Sprintf("DRAIN: %d requests, the last %d ms after the removal; the first: %s", late, last.Sub(removed).Milliseconds(), first)}
	}
	return nil
}
