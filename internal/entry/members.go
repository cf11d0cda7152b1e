package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// Members gives access to the membership of this instance. Without a peer address
// the only member is the instance itself.
type Members struct {
	entry settings.Entry
	// Node is nil without a peer address.
	Node *peer.Node
}

func newMembers(entry settings.Entry, logger *slog.Logger, m *metrics.Metrics) (*Members, error) {
	members := &Members{entry: entry}
	if entry.PeerAddress == "" {
		return members, nil
	}
	identity := membership.Identity{ID: entry.Instance, FailureDomain: entry.FailureDomain, Address: entry.AdvertisedPeerAddress(),
		Incarnation: uint64(time.Now().Unix())}
	node, err := peer.ListenAt(entry.PeerAddress, identity, logger, m.Scope)
	members.Node = node
	return members, err
}

// View calls read with the membership state. It does nothing without a peer
// address.
func (m *Members) View(read func(*membership.State)) {
	if m.Node != nil {
		m.Node.View(read)
	}
}

// Do calls change with the membership state and handles the outputs that it
// returns. It does nothing without a peer address.
func (m *Members) Do(change func(*membership.State) []membership.Output) {
	if m.Node != nil {
		m.Node.Do(change)
	}
}

// Self returns the ID of this instance.
func (m *Members) Self() string { return m.entry.Instance }

// Live returns the IDs of the live members of the failure domain.
func (m *Members) Live() []string {
	live := []string{m.entry.Instance}
	m.View(func(s *membership.State) {
		live = live[:0]
		for _, record := range s.LiveMembers() {
			live = append(live, record.ID)
		}
	})
	return live
}

// peerAddresses returns the peer addresses of the other members of the failure
// domain that are alive.
func (m *Members) peerAddresses() (addresses []string) {
	m.View(func(s *membership.State) {
		for _, record := range s.LiveMembers() {
			if record.ID != m.entry.Instance && record.State == membership.Alive {
				addresses = append(addresses, record.Address)
			}
		}
	})
	return addresses
}

// Instances returns the number of live instances in all failure domains.
func (m *Members) Instances() int {
	n := 1
	m.View(func(s *membership.State) { n = s.InstanceCount(time.Now()) })
	return n
}

// Seeds returns the addresses of other instances: those that are known to have a
// configuration, those of the settings and those of the instance list.
func (m *Members) Seeds() (seeds []string) {
	m.View(func(s *membership.State) { seeds = append(s.AddressesWithRevision(1), s.Candidates()...) })
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

// HighestRevision returns the highest configuration revision that any instance reported.
func (m *Members) HighestRevision() (highest int64) {
	m.View(func(s *membership.State) { highest = s.HighestRevision() })
	return highest
}

// AddressesWithRevision returns the addresses of instances whose configuration has at
// least the given revision.
func (m *Members) AddressesWithRevision(revision int64) (addresses []string) {
	m.View(func(s *membership.State) { addresses = s.AddressesWithRevision(revision) })
	return addresses
}

// SetRevision publishes the configuration revision that this instance uses.
func (m *Members) SetRevision(revision int64, fromStore bool) {
	m.Do(func(s *membership.State) []membership.Output { return s.SetRevision(revision, fromStore) })
}

// MarkDraining publishes a drain marker for a backend server that is draining: it
// refused a call, or the instance list shows it as leaving.
func (m *Members) MarkDraining(server string, incarnation int64, lifetime time.Duration) {
	m.Do(func(s *membership.State) []membership.Output {
		return s.MarkDraining(time.Now(), server, incarnation, lifetime)
	})
}

// addCandidates gives membership the instances that may be contacted: those of the
// settings and those of the instance list.
func (m *Members) addCandidates(instanceList []platform.Member) {
	var candidates []membership.Candidate
	for _, address := range m.entry.Peers {
		candidates = append(candidates, membership.Candidate{Address: address})
	}
	for _, member := range instanceList {
		if member.Role == platform.RoleEntry {
			candidates = append(candidates, membership.Candidate{FailureDomain: member.FailureDomain, Address: member.Address})
		}
	}
	m.Do(func(s *membership.State) []membership.Output {
		s.SetCandidates(candidates)
		return nil
	})
}

// peerServerParams are the dependencies of servePeers.
type peerServerParams struct {
	fx.In
	Entry      settings.Entry
	Members    *Members
	Server     *peer.Server
	Client     *peer.Client
	ListPoller *InstanceListPoller
	Steps      *StopSteps
	Status     *statuspage.Status
	Logger     *slog.Logger
	Plan       memorybudget.Plan
	Metrics    *metrics.Metrics
}

// servePeers runs membership and the API for other instances.
func servePeers(lc fx.Lifecycle, p peerServerParams) {
	p.Status.Add("peers", p.Members.status)
	if p.Members.Node == nil {
		return
	}
	// The peers of the settings are candidates even when the list cannot be read.
	p.Members.addCandidates(nil)
	p.ListPoller.Observe(p.Members.addCandidates)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	door := doors.New("peers", p.Plan.Peers, p.Logger, p.Metrics.Scope)
	server := door.NewPeerServer(p.Server.Handler())
	p.Steps.Add(StopStep{StopMembership, "membership", func(ctx context.Context) error {
		p.Members.Node.Leave(ctx, p.Client)
		return nil
	}})
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			running.Go(func() { p.Members.Node.Run(ctx) })
			return door.Start(start, server, p.Entry.PeerAddress, p.Logger)
		},
		OnStop: func(stop context.Context) error {
			err := server.Shutdown(stop)
			cancel()
			running.Wait()
			return err
		},
	})
}

// memberStatus describes one member of the failure domain in the status.
type memberStatus struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Load     int    `json:"load"`
	Revision int64  `json:"revision"`
}

// domainStatus describes another failure domain in the status.
type domainStatus struct {
	FailureDomain string `json:"failure_domain"`
	Members       int    `json:"members"`
	Load          int    `json:"load"`
	Revision      int64  `json:"revision"`
	AgeMS         int64  `json:"age_ms"`
}

// peersStatus is the section "peers" of the status.
type peersStatus struct {
	Members        []memberStatus `json:"members"`
	FailureDomains []domainStatus `json:"failure_domains"`
	Draining       []string       `json:"draining_servers"`
}

func (m *Members) status() any {
	var status peersStatus
	m.View(func(s *membership.State) {
		now := time.Now()
		for _, r := range s.LiveMembers() {
			status.Members = append(status.Members, memberStatus{r.ID, r.Address, r.State.String(), r.Load, r.Revision})
		}
		for _, d := range s.Summaries(now) {
			status.FailureDomains = append(status.FailureDomains, domainStatus{d.FailureDomain, d.Members, d.Load, d.Revision, d.Age.Milliseconds()})
		}
		for _, marker := range s.Draining(now) {
			status.Draining = append(status.Draining, marker.Server)
		}
	})
	return status
}
