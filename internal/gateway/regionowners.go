package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

const (
	// regionOwnersFresh is how long the owners in another region are used without asking
	// again, and regionOwnersMaxAge how long they are used while no newer answer has come.
	regionOwnersFresh  = time.Second
	regionOwnersMaxAge = 10 * time.Second
	// findOwnersTimeout bounds one question for the owners.
	findOwnersTimeout = 200 * time.Millisecond
	// maxContactsAsked bounds the instances of a region that are asked in turn.
	maxContactsAsked = 2
)

// errOtherRegion reports an instance that is not in the region that it was asked for.
var errOtherRegion = errors.New("instance is in another region")

// regionKey is a key that an instance of a region owns.
type regionKey struct{ region, key string }

// ownersAnswer holds the addresses of the owners of a key, as an instance of their region
// named them.
type ownersAnswer struct {
	addresses []string
	at        time.Time
	// askAgain is when the owners are to be asked for again.
	askAgain time.Time
}

// regionOwners holds the owners of keys in other regions.
type regionOwners struct {
	mu    sync.Mutex
	byKey map[regionKey]ownersAnswer
}

// lookup returns the owners of a key, nil when none are known or the answer is too old. It
// also returns whether the caller is to ask again.
func (r *regionOwners) lookup(now time.Time, key regionKey) (addresses []string, ask bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := r.byKey[key]
	if len(answer.addresses) == 0 || now.Sub(answer.at) > regionOwnersMaxAge {
		return nil, true
	}
	ask = !now.Before(answer.askAgain)
	if ask {
		answer.askAgain = now.Add(regionOwnersFresh)
		r.byKey[key] = answer
	}
	return answer.addresses, ask
}

func (r *regionOwners) store(now time.Time, key regionKey, addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[regionKey]ownersAnswer{}
	}
	r.byKey[key] = ownersAnswer{addresses: addresses, at: now, askAgain: now.Add(regionOwnersFresh)}
}

// expire has the owners of a key asked for again.
func (r *regionOwners) expire(key regionKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, known := r.byKey[key]; known {
		answer.askAgain = time.Time{}
		r.byKey[key] = answer
	}
}

// OwnersIn returns the addresses of the instances of another region that own a key, the
// owner first, those that did not answer lately last. It returns none when no instance of
// the region has said so within regionOwnersMaxAge.
func (c *Cluster) OwnersIn(ctx context.Context, region, key string) []string {
	wanted := regionKey{region, key}
	addresses, ask := c.regionOwners.lookup(time.Now(), wanted)
	switch {
	case addresses == nil:
		addresses = c.findOwners(ctx, wanted)
	case ask:
		go c.findOwners(context.WithoutCancel(ctx), wanted)
	}
	return c.avoidedLast(addresses)
}

// AvoidIn is Avoid for an owner of a key in another region, which is asked for again.
func (c *Cluster) AvoidIn(region, key, address string) {
	c.Avoid(address)
	c.regionOwners.expire(regionKey{region, key})
}

// avoidedLast returns a copy of addresses with the instances that did not answer lately last.
func (c *Cluster) avoidedLast(addresses []string) []string {
	sorted := slices.Clone(addresses)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(sorted, func(a, b string) int { return c.avoidance(a, now) - c.avoidance(b, now) })
	return sorted
}

// findOwners asks some instances of a region for the owners of a key, and returns none when
// no one answers.
func (c *Cluster) findOwners(ctx context.Context, wanted regionKey) []string {
	contacts := c.contactsIn(wanted.region)
	for _, contact := range contacts[:min(maxContactsAsked, len(contacts))] {
		bounded, cancel := context.WithTimeout(ctx, findOwnersTimeout)
		response, err := c.peerClient.FindOwners(bounded, contact, wanted.key)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil && response.Region != wanted.region {
			err = errOtherRegion
		}
		if err == nil && len(response.Addresses) > 0 {
			c.regionOwners.store(time.Now(), wanted, response.Addresses)
			return response.Addresses
		}
		c.Avoid(contact)
		events.RegionOwnerFailed.Log(ctx, c.logger, slog.String("region", wanted.region), slog.String("key", wanted.key), slog.String("address", contact), slog.Any("error", err))
	}
	return nil
}

// contactsIn returns the addresses of the known instances of another region in random order,
// those that did not answer lately last.
func (c *Cluster) contactsIn(region string) (addresses []string) {
	c.node.View(func(s *membership.State) {
		for _, summary := range s.Summaries(time.Now()) {
			if summary.FailureDomain != region {
				continue
			}
			for _, contact := range summary.Contacts {
				addresses = append(addresses, contact.Address)
			}
		}
	})
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return c.avoidedLast(addresses)
}

// FindOwners implements peer.OwnerHandler.
func (c *Cluster) FindOwners(key string) *peerpb.FindOwnersResponse {
	owners := c.Owners(key)
	response := &peerpb.FindOwnersResponse{Region: c.settings.Region}
	for _, address := range owners[:min(maxOwners, len(owners))] {
		if address == "" {
			address = c.Address()
		}
		response.Addresses = append(response.Addresses, address)
	}
	return response
}
