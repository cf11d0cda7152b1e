package jobs

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
	"github.com/coltsfootdrift/coltsfootdrift/lease"
)

// Times of the lease for all jobs of an instance.
const (
	leaseTTL    = 10 * time.Second
	leaseMargin = 3 * time.Second
	// leaseTick is how often the lease is looked after.
	leaseTick = time.Second
)

// keeper keeps the lease of an instance and the key under it.
type keeper struct {
	config Config
	lost   func()

	mu     sync.Mutex
	holder *lease.Holder
}

func newKeeper(config Config, lost func()) *keeper {
	return &keeper{config: config, lost: lost, holder: lease.NewHolder(leaseTTL, leaseMargin)}
}

// owner returns the fencing number under which this instance may act now.
func (k *keeper) owner() (job.Owner, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	number, ok := k.holder.Valid(k.config.Boot())
	return job.Owner{Instance: k.config.Instance, Fence: number}, ok
}

// work looks after the lease until ctx ends.
func (k *keeper) work(ctx context.Context) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		k.tick(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick lets time pass and carries out what the holder asks for.
func (k *keeper) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(leaseContext(ctx), leaseTTL-leaseMargin)
	defer cancel()
	outputs := k.step(lease.Tick{})
	for len(outputs) > 0 {
		var more []lease.Output
		if input := k.perform(ctx, outputs[0]); input != nil {
			more = k.step(input)
		}
		outputs = append(outputs[1:], more...)
	}
}

func (k *keeper) step(input lease.Input) []lease.Output {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Step(k.config.Boot(), input)
}

// perform carries out one output and returns the input that answers it.
func (k *keeper) perform(ctx context.Context, output lease.Output) lease.Input {
	asked := k.config.Boot()
	switch out := output.(type) {
	case lease.Grant:
		id, err := k.config.Store.GrantLease(ctx, out.TTL)
		if err != nil {
			return nil
		}
		return lease.Granted{Lease: lease.ID(id), AskedAt: asked}
	case lease.WriteKey:
		return k.writeKey(ctx, out.Lease)
	case lease.KeepAlive:
		return k.keepAlive(ctx, out.Lease, asked)
	case lease.Lost:
		events.JobLeaseLost.Log(ctx, k.config.Log, slog.Int64("fence", out.Number))
		k.lost()
	}
	return nil
}

func (k *keeper) keepAlive(ctx context.Context, id lease.ID, asked time.Time) lease.Input {
	err := k.config.Store.KeepAlive(ctx, store.LeaseID(id))
	if errors.Is(err, store.ErrNotFound) {
		return lease.Gone{Lease: id}
	}
	if err != nil {
		return nil
	}
	return lease.Extended{Lease: id, AskedAt: asked}
}

// writeKey replaces the key of an earlier process of the same instance, whose
// jobs can then be taken over.
func (k *keeper) writeKey(ctx context.Context, id lease.ID) lease.Input {
	key := job.HolderKey(k.config.Instance)
	entry, err := k.config.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil
	}
	version, err := k.config.Store.CompareAndSwap(ctx, key, entry.Version, []byte(k.config.Instance), store.LeaseID(id))
	if errors.Is(err, store.ErrNotFound) {
		return lease.Gone{Lease: id}
	}
	if err != nil {
		return nil
	}
	events.JobLeaseHeld.Log(ctx, k.config.Log, slog.Int64("fence", int64(version)))
	return lease.Fenced{Lease: id, Number: int64(version)}
}

// revoke ends the lease, so that released jobs are taken over without a wait.
func (k *keeper) revoke(ctx context.Context) {
	k.mu.Lock()
	id := k.holder.Lease()
	k.mu.Unlock()
	if id == 0 {
		return
	}
	_ = k.config.Store.RevokeLease(ctx, store.LeaseID(id))
	k.step(lease.Gone{Lease: id})
}
