package demo

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/examples"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// speedFactor divides the service times of the stand-ins, so that the demo is short.
const speedFactor = 80

// startAttempts limits how often the instances are started. A start fails when
// another process takes a port after it was found free.
const startAttempts = 3

// pollInterval is the time between two polls for readiness.
const pollInterval = 50 * time.Millisecond

// shutdownDeadline is the time limit for stopping the instances.
const shutdownDeadline = 5 * time.Second

// deployment is a running example: stand-ins and one entry instance in each
// failure domain.
type deployment struct {
	name    string
	cluster *standin.Cluster
	apps    []*fx.App
	// callerAddresses serve the callers' requests, adminAddresses the readiness check.
	callerAddresses, adminAddresses []string
	// instanceCount is the number of entry instances that were started.
	instanceCount int
}

// unpack writes the embedded files of a deployment into a folder.
func unpack(name, folder string) (string, error) {
	files, err := fs.Sub(examples.Files, name)
	if err != nil {
		return "", err
	}
	target := filepath.Join(folder, name)
	return target, os.CopyFS(target, files)
}

// start starts an example deployment from a folder. It tries startAttempts times.
func start(ctx context.Context, name, folder string, logger *slog.Logger) (*deployment, error) {
	cluster, err := standin.StartCluster(standin.ClusterConfig{Folder: folder, Speed: speedFactor})
	if err != nil {
		return nil, err
	}
	d := &deployment{name: name, cluster: cluster}
	for range startAttempts {
		err = d.startInstances(ctx, folder, logger)
		if err == nil {
			return d, nil
		}
		d.stopInstances()
	}
	return nil, errors.Join(err, d.stop())
}

func (d *deployment) startInstances(ctx context.Context, folder string, logger *slog.Logger) error {
	entries, err := d.cluster.EntrySettings(folder, 1, d.cluster.PortAllocator())
	if err != nil {
		return err
	}
	for _, e := range entries {
		e.DrainGraceMS = 1
		e.ShutdownDeadlineMS = shutdownDeadline.Milliseconds()
		if err := d.startInstance(ctx, e, logger); err != nil {
			return fmt.Errorf("start %s: %w", e.Instance, err)
		}
	}
	d.instanceCount = len(entries)
	return d.waitReady(ctx)
}

func (d *deployment) startInstance(ctx context.Context, e settings.Entry, logger *slog.Logger) error {
	app := entry.New(e, logger)
	if err := app.Start(ctx); err != nil {
		return err
	}
	d.cluster.InstanceList.Put(platform.Member{
		ID: e.Instance, Role: platform.RoleEntry, Address: e.PeerAddress, Region: e.Region,
		FailureDomain: e.FailureDomain, State: platform.StateLive,
	})
	d.apps = append(d.apps, app)
	d.callerAddresses = append(d.callerAddresses, e.CallerAddress)
	d.adminAddresses = append(d.adminAddresses, e.AdminAddress)
	return nil
}

// waitReady waits until every instance reports that it is ready.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, address := range d.adminAddresses {
		for !isReady(ctx, address) {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("instance at %s did not become ready: %w", address, ctx.Err())
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, adminAddress string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	// An instance that does not serve the path has no readiness check to wait for.
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound
}

func (d *deployment) stopInstances() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownDeadline)
	defer cancel()
	var errs []error
	for _, app := range d.apps {
		errs = append(errs, app.Stop(ctx))
	}
	d.apps, d.callerAddresses, d.adminAddresses = nil, nil, nil
	return errors.Join(errs...)
}

func (d *deployment) stop() error {
	return errors.Join(d.stopInstances(), d.cluster.Close())
}
