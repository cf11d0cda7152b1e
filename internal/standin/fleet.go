package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/tailscale/hujson"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// FleetFile is the name of the file that configures the stand-ins of a deployment.
// It is optional and in the same folder as the deployment file.
const FleetFile = "standin.jsonc"

// FleetConfig is the content of the fleet file. Pools are keyed by name.
type FleetConfig struct {
	Pools map[string]PoolConfig `json:"pools"`
}

// PoolConfig configures the stand-in backend servers of a pool. Times are in
// milliseconds.
type PoolConfig struct {
	Replicas       int     `json:"replicas"`
	ServiceTimeMS  float64 `json:"service_time_ms"`
	LoadFactor     float64 `json:"load_factor,omitempty"`
	LoadLagMS      float64 `json:"load_lag_ms,omitempty"`
	AnswerBytes    int     `json:"answer_bytes,omitempty"`
	ChunkBytes     int     `json:"chunk_bytes,omitempty"`
	PrefillMS      float64 `json:"prefill_ms,omitempty"`
	CachedPrefixes int     `json:"cached_prefixes,omitempty"`
	EventDelayMS   float64 `json:"event_delay_ms,omitempty"`
	LoadTimeMS     float64 `json:"load_time_ms,omitempty"`
	PrefixBytes    int64   `json:"prefix_bytes,omitempty"`
}

// defaultPoolConfig applies to pools that the fleet file does not name.
var defaultPoolConfig = PoolConfig{Replicas: 3, ServiceTimeMS: 20, AnswerBytes: 2000, ChunkBytes: 250}

// ReadFleet reads the fleet file in the root of a file system. Without the file it
// returns an empty Fleet.
func ReadFleet(root fs.FS) (FleetConfig, error) {
	var fleet FleetConfig
	data, err := fs.ReadFile(root, FleetFile)
	if errors.Is(err, fs.ErrNotExist) {
		return fleet, nil
	}
	if err != nil {
		return fleet, fmt.Errorf("read fleet: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return fleet, fmt.Errorf("%s: %w", FleetFile, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fleet); err != nil {
		return fleet, fmt.Errorf("%s: %w", FleetFile, err)
	}
	return fleet, nil
}

// poolConfig returns the configuration of a pool: the default one when the fleet file
// does not name the pool, and otherwise with defaults for an omitted number of replicas
// and chunk length.
func (f FleetConfig) poolConfig(pool string) PoolConfig {
	config, ok := f.Pools[pool]
	if !ok {
		return defaultPoolConfig
	}
	if config.ChunkBytes <= 0 {
		config.ChunkBytes = defaultPoolConfig.ChunkBytes
	}
	if config.Replicas <= 0 {
		config.Replicas = defaultPoolConfig.Replicas
	}
	return config
}

// domainLocation is a failure domain with its region.
type domainLocation struct {
	region, failureDomain string
}

func domainLocations(deployment pipeline.Deployment) []domainLocation {
	var all []domainLocation
	for _, region := range deployment.Regions {
		for _, domain := range region.FailureDomains {
			all = append(all, domainLocation{region.Name, domain})
		}
	}
	return all
}

// plannedServer is a backend server that has no address yet.
type plannedServer struct {
	config BackendConfig
	member platform.Member
}

// plan returns the backend servers of a deployment. The servers of a pool are
// distributed over the failure domains in turn.
func (f FleetConfig) plan(deployment pipeline.Deployment, weights *WeightStore, speed float64) []plannedServer {
	var all []plannedServer
	domains := domainLocations(deployment)
	for _, pool := range deployment.Pools {
		poolConfig := f.poolConfig(pool.Name)
		for i := range poolConfig.Replicas {
			location := domains[i%len(domains)]
			id := fmt.Sprintf("%s-%d", pool.Name, i+1)
			config := poolConfig.backendConfig(pool, weights, speed)
			config.ID, config.Seed = id, uint64(len(all))
			all = append(all, plannedServer{config, platform.Member{
				ID: id, Role: platform.RoleBackend, Pool: pool.Name, Region: location.region,
				FailureDomain: location.failureDomain, State: platform.StateLive, Incarnation: config.Incarnation,
			}})
		}
	}
	return all
}

// backendConfig returns the configuration of one server of a pool, with all times
// divided by speed.
func (p PoolConfig) backendConfig(pool pipeline.Pool, weights *WeightStore, speed float64) BackendConfig {
	duration := func(ms float64) time.Duration { return time.Duration(ms / speed * float64(time.Millisecond)) }
	return BackendConfig{
		Pool:        pool.Name,
		Slots:       pool.Slots,
		ServiceTime: duration(p.ServiceTimeMS),
		LoadFactor:  p.LoadFactor,
		AnswerBytes: p.AnswerBytes,
		ChunkBytes:  p.ChunkBytes,
		LoadLag:     duration(p.LoadLagMS),
		Incarnation: 1,
		Engine: EngineConfig{
			Models:         pool.Models,
			FencesOrders:   pool.FencesOrders,
			LoadTime:       duration(p.LoadTimeMS),
			Weights:        weights,
			PrefillTime:    duration(p.PrefillMS),
			CachedPrefixes: p.CachedPrefixes,
			EventDelay:     duration(p.EventDelayMS),
			PrefixBytes:    p.PrefixBytes,
		},
	}
}
