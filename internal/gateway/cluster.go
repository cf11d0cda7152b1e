package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

const (
	// registerPrefix is where instances write their peer addresses.
	registerPrefix = "instances/"
	// registerTTL is the life of a registration without renewal. An old one is only
	// a hint.
	registerTTL   = 10 * time.Minute
	renewInterval = 3 * time.Minute
	// firstReviews are the times after which the registrations are read again:
	// instances that start together read them before the others have registered.
	firstReviews = 2
	reviewPause  = 3 * time.Second
	// joinTime is how long after the start registered instances count as live:
	// until membership has heard of them, every instance would take itself for the
	// one that forms all calls.
	joinTime      = 5 * time.Second
	registerRetry = 2 * time.Second
	registerLimit = 1000
	// avoidAfterFailure is how long an instance that did not answer gets no stages.
	avoidAfterFailure = 2 * time.Second
)

var errNoPeer = errors.New("no other instance is known")

// Cluster is the other instances.
type Cluster struct {
	settings settings.Gateway
	node     *peer.Node
	client   *peer.Client
	store    store.Store
	logger   *slog.Logger

	mu      sync.Mutex
	avoid   map[string]time.Time
	started time.Time
	// pause is the mean time between the first reviews.
	pause time.Duration
	// registered holds the peer addresses of the region's instances by ID, as they
	// stood in the store at the start.
	registered map[string]string
}

// registration is what an instance writes into the store.
type registration struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

// NewCluster returns the cluster as seen from a node.
func NewCluster(s settings.Gateway, node *peer.Node, client *peer.Client, st store.Store, logger *slog.Logger) *Cluster {
	return &Cluster{settings: s, node: node, client: client, store: st, logger: logger, avoid: map[string]time.Time{}, started: time.Now(), pause: reviewPause}
}

// Pull implements view.Peers.
func (c *Cluster) Pull(ctx context.Context, address string, have store.Version) (store.Changes, error) {
	if address == "" {
		address = c.anyPeer()
	}
	if address == "" {
		return store.Changes{}, errNoPeer
	}
	return c.client.PullView(ctx, address, have)
}

// Announce implements view.Peers.
func (c *Cluster) Announce(version store.Version, fromStore bool) {
	c.node.Do(func(s *membership.State) []membership.Output { return s.SetRevision(int64(version), fromStore) })
}

// anyPeer returns the address of a random other instance, or an empty string.
func (c *Cluster) anyPeer() string {
	var known []string
	c.node.View(func(s *membership.State) {
		for _, record := range s.LiveMembers() {
			known = append(known, record.Address)
		}
		known = append(known, s.AddressesWithRevision(1)...)
		if len(known) < 2 {
			known = append(known, s.Candidates()...)
		}
	})
	known = slices.DeleteFunc(known, func(a string) bool { return a == "" || a == c.settings.PeerAddress })
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// Regions returns the address of one instance of each other region.
func (c *Cluster) Regions() (addresses []string) {
	c.node.View(func(s *membership.State) {
		for _, summary := range s.Summaries(time.Now()) {
			if n := len(summary.Contacts); n > 0 {
				addresses = append(addresses, summary.Contacts[rand.IntN(n)].Address)
			}
		}
	})
	return addresses
}

// Instances returns the number of live instances.
func (c *Cluster) Instances() int {
	n := 1
	c.node.View(func(s *membership.State) { n = max(1, s.InstanceCount(time.Now())) })
	return n
}

// readers is the number of instances of a region that look often for changes in the
// store.
const readers = 2

// Reader implements view.Peers. An instance that knows no other yet is none: when all
// start together, each would take itself for a reader.
func (c *Cluster) Reader() bool {
	if time.Since(c.started) < joinTime {
		return false
	}
	ids, _ := c.live()
	return slices.Contains(rendezvous.Order("store reader", ids)[:min(readers, len(ids))], c.settings.Instance)
}

// live returns the live instances of the region, and their addresses by ID. That
// of this instance is empty.
func (c *Cluster) live() (ids []string, addresses map[string]string) {
	addresses = map[string]string{c.settings.Instance: ""}
	if time.Since(c.started) < joinTime {
		c.mu.Lock()
		maps.Copy(addresses, c.registered)
		c.mu.Unlock()
	}
	c.node.View(func(s *membership.State) {
		for _, record := range s.LiveMembers() {
			if record.State == membership.Alive && record.ID != c.settings.Instance {
				addresses[record.ID] = record.Address
			}
		}
	})
	return slices.Collect(maps.Keys(addresses)), addresses
}

// Callers returns the addresses of the instances that may form the calls of a
// service of the region, the first choice first. Instances that did not answer
// lately come last; an empty address stands for this instance.
func (c *Cluster) Callers(service string) []string {
	ids, byID := c.live()
	var callers, avoided []string
	for _, chosen := range rendezvous.Order(service, ids) {
		if c.avoided(byID[chosen]) {
			avoided = append(avoided, byID[chosen])
		} else {
			callers = append(callers, byID[chosen])
		}
	}
	return append(callers, avoided...)
}

func (c *Cluster) avoided(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoid[address])
}

// Avoid passes over an instance that did not answer for a while.
func (c *Cluster) Avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[address] = time.Now().Add(avoidAfterFailure)
}

// Leave tells the others that this instance stops.
func (c *Cluster) Leave(ctx context.Context) { c.node.Leave(ctx, c.client) }

// Register writes this instance's peer address into the store and reads those of
// the others, until the context ends.
func (c *Cluster) Register(ctx context.Context) {
	c.hint(nil)
	var lease store.LeaseID
	for ctx.Err() == nil {
		if lease != 0 && c.store.KeepAlive(ctx, lease) == nil {
			clock.Sleep(ctx, renewInterval)
			continue
		}
		granted, err := c.register(ctx)
		if err != nil {
			events.NotRegistered.Log(ctx, c.logger, slog.Any("error", err))
			clock.Sleep(ctx, registerRetry/2+rand.N(registerRetry))
			continue
		}
		lease = granted
		events.Registration.Log(ctx, c.logger, slog.String("address", c.settings.PeerAddress))
		c.review(ctx)
		clock.Sleep(ctx, renewInterval)
	}
}

// review reads the registrations of instances that started at the same time.
func (c *Cluster) review(ctx context.Context) {
	for range firstReviews {
		clock.Sleep(ctx, c.pause/2+rand.N(c.pause))
		entries, err := c.store.List(ctx, registerPrefix, "", registerLimit)
		if err != nil {
			events.NotRegistered.Log(ctx, c.logger, slog.Any("error", err))
			continue
		}
		c.hint(entries)
	}
}

func (c *Cluster) register(ctx context.Context) (store.LeaseID, error) {
	entries, err := c.store.List(ctx, registerPrefix, "", registerLimit)
	if err != nil {
		return 0, err
	}
	c.hint(entries)
	key := registerPrefix + c.settings.Instance
	var expect store.Version
	for _, e := range entries {
		if e.Key == key {
			expect = e.Version
		}
	}
	lease, err := c.store.GrantLease(ctx, registerTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(registration{Address: c.settings.PeerAddress, Region: c.settings.Region})
	if err != nil {
		return 0, err
	}
	_, err = c.store.CompareAndSwap(ctx, key, expect, value, lease)
	return lease, err
}

// hint tells membership which addresses may belong to other instances.
func (c *Cluster) hint(entries []store.Entry) {
	addresses := slices.Clone(c.settings.Peers)
	registered := map[string]string{}
	for _, e := range entries {
		id := strings.TrimPrefix(e.Key, registerPrefix)
		var r registration
		if err := json.Unmarshal(e.Value, &r); err != nil {
			events.EntryRejected.Log(context.Background(), c.logger, slog.String("key", e.Key), slog.Any("error", err))
			continue
		}
		if id == c.settings.Instance {
			continue
		}
		addresses = append(addresses, r.Address)
		if r.Region == c.settings.Region {
			registered[id] = r.Address
		}
	}
	c.mu.Lock()
	c.registered = registered
	c.mu.Unlock()
	var candidates []membership.Candidate
	for _, address := range addresses {
		if address != c.settings.PeerAddress {
			candidates = append(candidates, membership.Candidate{Address: address})
		}
	}
	c.node.Do(func(s *membership.State) []membership.Output {
		s.SetCandidates(candidates)
		return nil
	})
}
