package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Host is the loopback address on which all stand-ins listen.
const Host = "127.0.0.1"

// ClusterConfig configures a cluster of stand-ins.
type ClusterConfig struct {
	// Folder holds the deployment and pipeline files, and optionally the fleet file.
	Folder string
	// BasePort is the port of the store; the instance list, the weight store and the
	// backend servers use the ports that follow. 0 uses any free ports.
	BasePort int
	// Speed divides the times of backend servers; 0 means 1.
	Speed float64
}

// Cluster holds the running stand-ins of one deployment.
type Cluster struct {
	Set          *pipeline.Set
	Store        *Store
	InstanceList *InstanceList
	Weights      *WeightStore
	Servers      []*Server

	StoreAddress, PlatformAddress, WeightsAddress string

	nextPort  int
	listeners []*http.Server
}

// Server is a backend server of a cluster. It can be killed and restarted.
type Server struct {
	mu           sync.Mutex
	backend      *Backend
	member       platform.Member
	http         *http.Server
	instanceList *InstanceList
}

// StartCluster reads a deployment folder and starts its stand-ins.
func StartCluster(config ClusterConfig) (*Cluster, error) {
	root := os.DirFS(config.Folder)
	set, err := pipeline.Load(root)
	if err != nil {
		return nil, err
	}
	if len(domainLocations(set.Deployment)) == 0 {
		return nil, fmt.Errorf("%s in %s has no failure domain", pipeline.DeploymentFile, config.Folder)
	}
	fleet, err := ReadFleet(root)
	if err != nil {
		return nil, err
	}
	if config.Speed == 0 {
		config.Speed = 1
	}
	c := &Cluster{
		Set:          set,
		Store:        NewStore(),
		InstanceList: &InstanceList{},
		Weights:      NewWeightStore(set.Deployment.WeightLoadsPerMinute),
		nextPort:     config.BasePort,
	}
	err = c.start(fleet.plan(set.Deployment, c.Weights, config.Speed))
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(servers []plannedServer) error {
	for _, service := range []struct {
		address *string
		handler http.Handler
	}{
		{&c.StoreAddress, c.Store.Handler()},
		{&c.PlatformAddress, c.InstanceList.Handler()},
		{&c.WeightsAddress, c.Weights.Handler()},
	} {
		server, address, err := serve(c.nextAddress(), service.handler)
		if err != nil {
			return err
		}
		*service.address = address
		c.listeners = append(c.listeners, server)
	}
	members := make([]platform.Member, len(servers))
	for i, p := range servers {
		p.member.Address = c.nextAddress()
		server := &Server{backend: NewBackend(p.config), member: p.member, instanceList: c.InstanceList}
		if err := server.listen(); err != nil {
			return err
		}
		c.Servers = append(c.Servers, server)
		members[i] = server.member
	}
	c.InstanceList.Set(members)
	return nil
}

// nextAddress returns the address for the next listener.
func (c *Cluster) nextAddress() string {
	port := c.nextPort
	if port > 0 {
		c.nextPort++
	}
	return net.JoinHostPort(Host, strconv.Itoa(port))
}

// serve starts an HTTP server and returns the address on which it listens.
func serve(address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", fmt.Errorf("start stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// Close stops all stand-ins and closes their connections.
func (c *Cluster) Close() error {
	var errs []error
	for _, listener := range c.listeners {
		errs = append(errs, listener.Close())
	}
	for _, server := range c.Servers {
		errs = append(errs, server.Kill())
	}
	return errors.Join(errs...)
}

// Runs returns the recorded runs of all backend servers.
func (c *Cluster) Runs() []Run {
	var runs []Run
	for _, server := range c.Servers {
		runs = append(runs, server.Backend().Runs()...)
	}
	return runs
}

// Pool returns the backend servers of a pool.
func (c *Cluster) Pool(name string) []*Server {
	var servers []*Server
	for _, server := range c.Servers {
		if server.Member().Pool == name {
			servers = append(servers, server)
		}
	}
	return servers
}

// Backend returns the current stand-in, which a restart replaces.
func (s *Server) Backend() *Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

// Member returns the server's entry in the instance list.
func (s *Server) Member() platform.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member
}

func (s *Server) listen() error {
	server, address, err := serve(s.member.Address, s.backend.Handler())
	if err != nil {
		return err
	}
	s.http, s.member.Address = server, address
	return nil
}

// Kill closes all connections and stops listening. The server stays in the instance
// list.
func (s *Server) Kill() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http.Close()
}

// Restart starts a killed server at its old address with the next incarnation.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backend = s.backend.restarted()
	s.member.Incarnation++
	if err := s.listen(); err != nil {
		return err
	}
	s.instanceList.Put(s.member)
	return nil
}
