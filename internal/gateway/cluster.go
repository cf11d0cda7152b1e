package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
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
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

const (
	// registrationPrefix is the prefix of the store keys that hold the peer addresses of
	// instances.
	registrationPrefix = "instances/"
	// registrationTTL is the time to live of a registration that is not renewed. It may
	// be long, because a stale registration only adds a candidate to membership.
	registrationTTL           = 10 * time.Minute
	registrationRenewInterval = 3 * time.Minute
	// registrationRereads is how many times the registrations are reread after the start:
	// instances that start together read them before the others have registered.
	registrationRereads        = 2
	registrationRereadInterval = 3 * time.Second
	// joinGracePeriod is how long after the start registered instances count as live.
	// Without it, every instance would own all services until membership has discovered
	// the others.
	joinGracePeriod = 5 * time.Second
	// registerRetryDelay and maxRegisterRetryDelay bound the mean delay before the retry
	// of a registration. It doubles with each failure.
	registerRetryDelay    = 2 * time.Second
	maxRegisterRetryDelay = 30 * time.Second
	// avoidDuration is how long an instance that did not answer ranks last among owners.
	avoidDuration = 2 * time.Second
)

var errNoPeerKnown = errors.New("no other instance is known")

// Cluster provides the addresses of the other instances, from membership and from the
// registrations in the store, and chooses the owner of a key among all instances.
type Cluster struct {
	settings   settings.Gateway
	node       *peer.Node
	peerClient *peer.Client
	store      RegistrationStore
	logger     *slog.Logger

	mu         sync.Mutex
	avoidUntil map[string]time.Time
	ranks      ownerRanks
	// regionOwners has a lock of its own.
	regionOwners regionOwners
	started      time.Time
	// rereadInterval is the mean time between rereads of the registrations.
	rereadInterval time.Duration
	// registered holds the registrations of the region's other instances by ID, as last
	// read from the store during the start.
	registered map[string]registration
	// knownInstances is the number of instances that are registered in all regions, 0 until
	// the registrations were read.
	knownInstances int
	// viewed is true after the first view, generation the store's generation in the last
	// one.
	viewed     bool
	generation int64
	// registrationLost receives a value when the registration may have been lost.
	registrationLost chan struct{}
}

// RegistrationStore is the part of the store that holds the registrations of instances.
type RegistrationStore interface {
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, lease store.LeaseID) error
	CompareAndSwap(ctx context.Context, key string, expected store.Version, value []byte, lease store.LeaseID) (store.Version, error)
	// ListStale returns all entries with a prefix as they were up to seconds ago. It
	// costs the store less than store.Store.List.
	ListStale(ctx context.Context, prefix string) ([]store.Entry, error)
}

// registration is the value that an instance stores under its registration key.
type registration struct {
	Address  string              `json:"address"`
	Region   string              `json:"region"`
	Capacity membership.Capacity `json:"capacity"`
}

// NewCluster returns a Cluster that reads the live instances from a membership node.
func NewCluster(s settings.Gateway, node *peer.Node, peerClient *peer.Client, st RegistrationStore, logger *slog.Logger) *Cluster {
	c := &Cluster{settings: s, node: node, peerClient: peerClient, store: st, logger: logger, avoidUntil: map[string]time.Time{}, started: time.Now(), rereadInterval: registrationRereadInterval, registrationLost: make(chan struct{}, 1)}
	node.Observe(c.observeMembers)
	return c
}

// Pull implements view.Peers.
func (c *Cluster) Pull(ctx context.Context, request view.PullRequest) (store.Changes, error) {
	address := request.Address
	if address == "" {
		address = c.randomPeer(request.Have, request.Except)
	}
	if address == "" {
		return store.Changes{}, errNoPeerKnown
	}
	changes, err := c.peerClient.PullView(ctx, address, request.Have, request.Start, request.OnData)
	if errors.Is(err, peer.ErrBusy) {
		err = fmt.Errorf("%w: %w", view.ErrPeerBusy, err)
	}
	return changes, err
}

// Announce implements view.Peers.
func (c *Cluster) Announce(version store.Version, fromStore bool) {
	c.node.Do(func(s *membership.State) []membership.Output { return s.SetRevision(int64(version), fromStore) })
}

// leavingMarkerLifetime is the lifetime of the marker of a server that leaves. It covers
// the time from its first such answer to its exit.
const leavingMarkerLifetime = 2 * time.Minute

// MarkLeaving announces to the other instances that an incarnation of a server leaves.
func (c *Cluster) MarkLeaving(server string, incarnation int64) {
	c.node.Do(func(s *membership.State) []membership.Output {
		return s.MarkDraining(time.Now(), server, incarnation, leavingMarkerLifetime)
	})
}

// ConfirmStoreContact implements view.Peers.
func (c *Cluster) ConfirmStoreContact(age time.Duration) {
	c.node.Do(func(s *membership.State) []membership.Output { return s.ConfirmStoreContact(age) })
}

// AnnounceReceiving implements view.Peers.
func (c *Cluster) AnnounceReceiving() {
	c.node.Do(func(s *membership.State) []membership.Output { return s.AnnounceStoreReceiving() })
}

// randomPeer returns the address of a random other instance that is not the one at the address
// except, one with a later version of the store's entries if there is one, or an empty string
// when none is known.
func (c *Cluster) randomPeer(have store.Version, except string) string {
	var later, known []string
	c.node.View(func(s *membership.State) {
		later = s.AddressesWithRevision(int64(have) + 1)
		for _, record := range s.LiveMembers() {
			known = append(known, record.Address)
		}
		if len(known) < 2 {
			known = append(known, s.Candidates()...)
		}
	})
	for _, addresses := range [][]string{later, known} {
		addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == "" || a == except || a == c.settings.PeerAddress })
		if len(addresses) > 0 {
			return addresses[rand.IntN(len(addresses))]
		}
	}
	return ""
}

// maxOwnReads is the number of instances up to which each reads all entries of the store
// after a restart. The reads of more instances at once exceed the link between regions.
const maxOwnReads = 100

// FewInstances implements view.Peers.
func (c *Cluster) FewInstances() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownInstances > 0 && c.knownInstances <= maxOwnReads
}

// RegionContacts returns the address of one random instance of each other region, by region.
func (c *Cluster) RegionContacts() map[string]string {
	addresses := map[string]string{}
	c.node.View(func(s *membership.State) {
		for _, summary := range s.Summaries(time.Now()) {
			if n := len(summary.Contacts); n > 0 {
				addresses[summary.FailureDomain] = summary.Contacts[rand.IntN(n)].Address
			}
		}
	})
	return addresses
}

// LiveShare returns the share of the region's instances, those that were lost included, that
// this one takes for alive.
func (c *Cluster) LiveShare() (share float64) {
	c.node.View(func(s *membership.State) { share = s.LiveShare() })
	return share
}

// InstanceCount returns the number of live instances, at least 1.
func (c *Cluster) InstanceCount() int {
	n := 1
	c.node.View(func(s *membership.State) { n = max(1, s.InstanceCount(time.Now())) })
	return n
}

// firstReadDelay is how long an instance reads the registrations of the others before it
// may become a reader.
const firstReadDelay = 1500 * time.Millisecond

// Avoid ranks an instance that did not answer last among owners for avoidDuration.
func (c *Cluster) Avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
}

// Leave announces to the other instances that this one stops.
func (c *Cluster) Leave(ctx context.Context) { c.node.Leave(ctx, c.peerClient) }

// Register writes this instance's peer address into the store, reads those of the
// others, and renews the registration until the context ends.
func (c *Cluster) Register(ctx context.Context) {
	c.addCandidates(nil)
	var lease store.LeaseID
	retryDelay := registerRetryDelay
	for ctx.Err() == nil {
		if lease != 0 && c.store.KeepAlive(ctx, lease) == nil {
			c.awaitRenewal(ctx)
			continue
		}
		granted, err := c.register(ctx)
		if err != nil {
			events.NotRegistered.Log(ctx, c.logger, slog.Any("error", err))
			clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRegisterRetryDelay)
			continue
		}
		lease, retryDelay = granted, registerRetryDelay
		events.Registered.Log(ctx, c.logger, slog.String("address", c.settings.PeerAddress))
		c.rereadRegistrations(ctx)
		c.awaitRenewal(ctx)
	}
}

// maxReregisterDelay bounds a random delay before a lost registration is written again, so
// that the instances don't all write at the same time.
const maxReregisterDelay = 3 * time.Second

// awaitRenewal waits until the registration is due to be renewed.
func (c *Cluster) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(registrationRenewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.registrationLost:
		clock.Sleep(ctx, rand.N(maxReregisterDelay))
	}
}

// ObserveView has the registration written again when the store was restored from a
// backup.
func (c *Cluster) ObserveView(v *view.View) {
	generation := v.Version.Generation()
	c.mu.Lock()
	restored := c.viewed && generation > c.generation
	c.viewed, c.generation = true, max(c.generation, generation)
	c.mu.Unlock()
	if !restored {
		return
	}
	select {
	case c.registrationLost <- struct{}{}:
	default:
	}
}

// rereadRegistrations reads the registrations of instances that started at the same
// time as this one.
func (c *Cluster) rereadRegistrations(ctx context.Context) {
	for range registrationRereads {
		clock.Sleep(ctx, c.rereadInterval/2+rand.N(c.rereadInterval))
		if _, err := c.readRegistrations(ctx); err != nil {
			events.NotRegistered.Log(ctx, c.logger, slog.Any("error", err))
		}
	}
}

// register writes the registration of this instance and then reads those of the others:
// of two instances that start together, at least the later one reads the other's, or
// rereads it when the first read was stale. After a restart at the same address, the
// registration of the earlier process is kept instead.
func (c *Cluster) register(ctx context.Context) (store.LeaseID, error) {
	value, err := json.Marshal(registration{Address: c.settings.PeerAddress, Region: c.settings.Region, Capacity: c.settings.Capacity()})
	if err != nil {
		return 0, err
	}
	known, err := c.readRegistrations(ctx)
	if err != nil {
		return 0, err
	}
	if known.Lease != 0 && bytes.Equal(known.Value, value) && c.store.KeepAlive(ctx, known.Lease) == nil {
		return known.Lease, nil
	}
	lease, err := c.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	if err := c.replaceRegistration(ctx, known.Version, value, lease); err != nil {
		return 0, err
	}
	_, err = c.readRegistrations(ctx)
	return lease, err
}

// readRegistrations reads the registrations of all instances and returns that of this one,
// an empty entry when there is none.
func (c *Cluster) readRegistrations(ctx context.Context) (own store.Entry, err error) {
	entries, err := c.store.ListStale(ctx, registrationPrefix)
	if err != nil {
		return store.Entry{}, err
	}
	c.mu.Lock()
	c.knownInstances = max(1, len(entries))
	c.mu.Unlock()
	c.addCandidates(entries)
	for _, e := range entries {
		if e.Key == registrationPrefix+c.settings.Instance {
			return e, nil
		}
	}
	return store.Entry{}, nil
}

// replaceRegistration writes the registration over one with a version, or over a newer one
// of an earlier process.
func (c *Cluster) replaceRegistration(ctx context.Context, known store.Version, value []byte, lease store.LeaseID) error {
	key := registrationPrefix + c.settings.Instance
	_, err := c.store.CompareAndSwap(ctx, key, known, value, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		_, err = c.store.CompareAndSwap(ctx, key, conflict.Current, value, lease)
	}
	return err
}

// addCandidates passes membership the addresses of the settings and of the registration
// entries, which may belong to other instances.
func (c *Cluster) addCandidates(entries []store.Entry) {
	addresses := slices.Clone(c.settings.Peers)
	registered := map[string]registration{}
	for _, e := range entries {
		id := strings.TrimPrefix(e.Key, registrationPrefix)
		var r registration
		if err := json.Unmarshal(e.Value, &r); err != nil {
			events.StoreEntryRejected.Log(context.Background(), c.logger, slog.String("key", e.Key), slog.Any("error", err))
			continue
		}
		if id == c.settings.Instance {
			continue
		}
		addresses = append(addresses, r.Address)
		if r.Region == c.settings.Region {
			registered[id] = r
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

// Address returns the peer address of this instance.
func (c *Cluster) Address() string { return c.settings.PeerAddress }
