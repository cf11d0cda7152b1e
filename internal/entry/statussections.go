package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
)

// serverStatus describes one backend server in the status.
type serverStatus struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	InFlight      int     `json:"in_flight"`
	PeersInFlight float64 `json:"peers_in_flight"`
	// Weight is 1 for a server that gets its full share of the calls, and less for a
	// straggler.
	Weight    float64 `json:"weight"`
	Straggler bool    `json:"straggler"`
	// Reported is true while other instances report the server as a straggler.
	Reported  bool `json:"reported_straggler"`
	Draining  bool `json:"draining"`
	SlowStart bool `json:"slow_start"`
}

// poolStatus describes one pool in the status.
type poolStatus struct {
	Pool    string         `json:"pool"`
	Servers []serverStatus `json:"servers"`
}

// serversStatus is the section "servers" of the status.
type serversStatus struct {
	Pools []poolStatus `json:"pools"`
}

func (s *Servers) status() serversStatus {
	pools := s.snapshot()
	status := serversStatus{Pools: []poolStatus{}}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		status.Pools = append(status.Pools, poolStatus{name, pools[name].status()})
	}
	return status
}

func (p *serverPool) status() []serverStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []serverStatus{}
	for _, state := range p.pool.States() {
		index, _ := p.pool.Index(state.ID)
		server := p.servers[index]
		list = append(list, serverStatus{
			ID: state.ID, Address: server.Address, FailureDomain: server.FailureDomain,
			InFlight: state.InFlight, PeersInFlight: state.PeersInFlight,
			Weight: state.Weight, Straggler: state.Weight < 1, Reported: state.Reported,
			Draining: state.Draining, SlowStart: state.SlowStart,
		})
	}
	return list
}

// queueStatus describes the admission queue of one pool in the status.
type queueStatus struct {
	Pool    string `json:"pool"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// organisationStatus describes this instance's share of an organisation's rate.
// Only the largest organisations of this and the other instances are shown.
type organisationStatus struct {
	Organisation   string  `json:"organisation"`
	PerSecond      float64 `json:"per_second"`
	PeersPerSecond float64 `json:"peers_per_second"`
	Share          float64 `json:"share"`
}

// linkStatus describes this instance's share of the link between regions.
type linkStatus struct {
	Share          float64 `json:"share"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	UsedBytes      int64   `json:"used_bytes"`
}

// storeStatus describes this instance's share of the store's rate limits.
type storeStatus struct {
	Configured      bool    `json:"configured"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	Outage          bool    `json:"outage"`
}

// admissionStatus is the part of the section "limits" that admission control
// provides.
type admissionStatus struct {
	Queues []queueStatus `json:"queues"`
	// Instances is the number of instances that share the organisations' rates.
	Instances     int                  `json:"instances"`
	Organisations []organisationStatus `json:"organisations"`
}

// limitsStatus is the section "limits" of the status.
type limitsStatus struct {
	admissionStatus             // encoded inline, as members of the section
	Link            linkStatus  `json:"link"`
	Store           storeStatus `json:"store"`
}

func (a *AdmissionControl) status() admissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := admissionStatus{Queues: []queueStatus{}, Instances: a.rates.Instances(), Organisations: []organisationStatus{}}
	for pool, q := range a.queues {
		running, waiting := q.queue.Load()
		status.Queues = append(status.Queues, queueStatus{pool, q.queue.Limit(), running, waiting})
	}
	slices.SortFunc(status.Queues, func(a, b queueStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	for _, share := range a.rates.Shares(a.now()) {
		status.Organisations = append(status.Organisations, organisationStatus(share))
	}
	return status
}

func (s *Servers) linkStatus() linkStatus {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	fraction := s.link.share()
	status := linkStatus{Share: fraction, BytesPerSecond: s.link.budget.Capacity() * fraction}
	for _, bytes := range s.link.budget.Used() {
		status.UsedBytes += bytes
	}
	return status
}

func (a *StoreAccess) status() storeStatus {
	if a.budget == nil {
		return storeStatus{}
	}
	reads, writes := a.budget.Rates()
	return storeStatus{Configured: true, ReadsPerSecond: reads, WritesPerSecond: writes, Outage: a.budget.InOutage()}
}

// stateStatus is the section "state" of the status: claims and jobs.
type stateStatus struct {
	ClaimsRunning int `json:"claims_running"`
	// ClaimsUnrecorded is the number of ended claims whose outcome is not recorded
	// yet.
	ClaimsUnrecorded int `json:"claims_unsettled"`
	JobsRunning      int `json:"jobs_running"`
	// JobLease is true while this instance holds the lease that allows it to run
	// jobs.
	JobLease bool `json:"job_lease"`
}

// addStatusSections registers the sections "servers", "limits" and "state" of the
// status.
func addStatusSections(status *statuspage.Status, servers *Servers, control *AdmissionControl, access *StoreAccess, c *claims.Claims, j *jobs.Jobs) {
	status.Add("servers", func() any { return servers.status() })
	status.Add("limits", func() any {
		return limitsStatus{control.status(), servers.linkStatus(), access.status()}
	})
	if c == nil || j == nil {
		return
	}
	status.Add("state", func() any {
		running, unrecorded := c.Counts()
		jobsRunning, lease := j.Counts()
		return stateStatus{running, unrecorded, jobsRunning, lease}
	})
}
