package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// fakeProtocol is a Protocol with a wire format for tests: the configuration and the
// servers are the JSON of this project's types.
type fakeProtocol struct{}

func (fakeProtocol) Kind(key string) view.KeyKind {
	switch {
	case key == "config":
		return view.KeyConfiguration
	case strings.HasPrefix(key, "evacuate/"):
		return view.KeyEvacuation
	}
	return view.KeyServer
}

func (fakeProtocol) Configuration(value []byte) (c route.Configuration, err error) {
	return c, json.Unmarshal(value, &c)
}

func (fakeProtocol) Server(_ string, value []byte) (s view.Server, err error) {
	return s, json.Unmarshal(value, &s)
}

func (fakeProtocol) EvacuatedDomain(key string) (string, error) {
	return strings.TrimPrefix(key, "evacuate/"), nil
}

func (fakeProtocol) ReadRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last"), PieceKey: "pk"}
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		info.Timeout, info.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	for _, part := range strings.Fields(h.Get("Prompt")) {
		info.Prompt = append(info.Prompt, engine.Part{ID: part, Tokens: 1000})
	}
	for _, n := range strings.Fields(h.Get("Counts")) {
		count, _ := strconv.Atoi(n)
		info.PieceCounts = append(info.PieceCounts, count)
	}
	return info, nil
}

func (fakeProtocol) WriteRequest(h http.Header, s SendInfo) {
	h.Del("Key")
	h.Set("Server", s.Server)
	h.Set("Organisation", s.Organisation)
	h.Set("Inputs", strings.Join(s.Inputs, " "))
	h.Set("Copy-From", s.CopyFrom)
	if s.LastEventID != "" {
		h.Set("Last", s.LastEventID)
	}
}

func (fakeProtocol) WriteLocalAnswer(h http.Header, id string) { h.Set("Id", id) }

func (fakeProtocol) Belongs(h http.Header, id string) bool { return h.Get("Id") == id }

func (fakeProtocol) ReadAnswer(_ int, h http.Header) AnswerInfo {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	var limit ratelimit.Statement
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		limit = ratelimit.Statement{Kind: ratelimit.Named, Rate: ratelimit.Rate(perSecond)}
	}
	return AnswerInfo{Limit: limit, NotRun: h.Get("Not-Run") != "", Unverified: h.Get("Unsigned") != "", InputsLost: h.Get("Not-Run") == "inputs", Leaving: h.Get("Leaving") != "", RetryAfter: pause}
}

func (fakeProtocol) StageCall(s upstream.Server, pieces []Piece) (*upstream.Request, error) {
	body, err := json.Marshal(pieces)
	return &upstream.Request{Method: http.MethodPost, Target: "/run", Host: s.Address, Header: http.Header{}, Body: body}, err
}

func (fakeProtocol) StageOutcomes(_ int, _ http.Header, body []byte, _ int) (outcomes []stagework.Outcome, err error) {
	return outcomes, json.Unmarshal(body, &outcomes)
}

func (fakeProtocol) FreeCall(s upstream.Server, results []string) (*upstream.Request, error) {
	body, err := json.Marshal(results)
	return &upstream.Request{Method: http.MethodPost, Target: "/free", Host: s.Address, Header: http.Header{}, Body: body}, err
}

func (fakeProtocol) StateCall(s upstream.Server) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, Target: "/state", Host: s.Address, Header: http.Header{}}
}

func (fakeProtocol) StateIncarnation(body []byte) int64 {
	incarnation, _ := strconv.ParseInt(string(body), 10, 64)
	return incarnation
}

func (fakeProtocol) StateLoad(body []byte) (load engine.Load, ok bool) {
	return load, json.Unmarshal(body, &load) == nil && load.Running > 0
}

func (fakeProtocol) CacheCall(s upstream.Server) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, Target: "/cache", Host: s.Address, Header: http.Header{}}
}

func (fakeProtocol) CachedParts(body []byte) (parts []engine.Part, err error) {
	return parts, json.Unmarshal(body, &parts)
}

// fakeSource is a view.Source whose entries change by what a channel delivers.
type fakeSource struct {
	entries []store.Entry
	changes chan store.WatchResult
}

func (f fakeSource) Snapshot(context.Context, bool, view.CallOptions) ([]store.Entry, store.Version, error) {
	return f.entries, 1, nil
}

func (f fakeSource) Watch(ctx context.Context, _ string, _ store.Version, _ view.CallOptions) (store.WatchResult, error) {
	select {
	case result := <-f.changes:
		return result, nil
	case <-ctx.Done():
		return store.WatchResult{Version: 1}, nil
	}
}

// fixture is a running gateway whose backend servers are handler functions.
type fixture struct {
	c         *qt.C
	config    route.Configuration
	servers   []view.Server
	gateway   *Gateway
	scheduler *StageScheduler
	drain     *Drain
	url       string
	// far is true for an instance in region "q".
	far bool
	// version is the store's version, changes what the store reports next, and changed
	// receives after each change of the view.
	version store.Version
	changes chan store.WatchResult
	changed chan struct{}
}

// addServer adds a backend server to a service and returns its address.
func (f *fixture) addServer(service string, handle http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Id", r.Header.Get("Id"))
		handle(rw, r)
	}))
	f.c.Cleanup(server.CloseClientConnections)
	address := strings.TrimPrefix(server.URL, "http://")
	f.servers = append(f.servers, view.Server{ID: fmt.Sprint("s", len(f.servers)), Service: service, Address: address, FailureDomain: "d", Slots: 4})
	return address
}

// addRawServer adds a server of service "x" that serves each of its connections by a function.
func (f *fixture) addRawServer(serve func(net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { listener.Close() })
	f.servers = append(f.servers, view.Server{ID: "raw", Service: "x", Address: listener.Addr().String(), FailureDomain: "d", Slots: 4})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// addServerIn adds a backend server in a failure domain: "d" is in the gateway's region "r",
// "e" in region "q".
func (f *fixture) addServerIn(domain, service string, handle http.HandlerFunc) {
	f.addServer(service, handle)
	f.servers[len(f.servers)-1].FailureDomain = domain
}

// reconfigure publishes the fixture's configuration again, as changed by the test.
func (f *fixture) reconfigure() {
	f.config.Version++
	data, err := json.Marshal(f.config)
	f.c.Assert(err, qt.IsNil)
	f.change(store.WatchResult{Changed: []store.Entry{{Key: "config", Value: data}}})
}

func discardLogger() *slog.Logger { return slog.New(slog.NewJSONHandler(io.Discard, nil)) }

// freeUDPPorts draws ports outside the range that the system assigns to sockets
// bound to port 0.
var freeUDPPorts = standin.FreePorts()

// listenPeer returns a node that is bound to its UDP port. It tries the next port when
// another process takes one between the draw and the bind.
func listenPeer(c *qt.C) *peer.Node { return listenPeerIn(c, "g", "r") }

// listenPeerIn is listenPeer for an instance with an ID in a region.
func listenPeerIn(c *qt.C, id, region string) *peer.Node {
	for {
		port, err := freeUDPPorts()
		c.Assert(err, qt.IsNil)
		address := net.JoinHostPort(standin.Host, strconv.Itoa(port))
		node, err := peer.Listen(membership.Identity{ID: id, FailureDomain: region, Address: address, Incarnation: 1}, discardLogger(), tally.NoopScope)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		c.Assert(err, qt.IsNil)
		return node
	}
}

func nodeAddress(node *peer.Node) (address string) {
	node.View(func(s *membership.State) { address = s.Self().Address })
	return address
}

// location is where an instance runs.
type location struct{ id, region, domain string }

func (f *fixture) location() location {
	if f.far {
		return location{"h", "q", "e"}
	}
	return location{"g", "r", "d"}
}

// startFar starts an instance in region "q" with the same configuration and servers, which
// serves the calls of the fixture's instance. The result ends these calls.
func (f *fixture) startFar() (far *fixture, stop func()) {
	far = &fixture{c: f.c, config: f.config, servers: f.servers, far: true}
	far.start()
	cluster := far.gateway.stages.cluster
	handlers := peer.NewServer(nil)
	handlers.HandleStages(far.scheduler)
	handlers.HandlePlacements(far.gateway.placer)
	handlers.HandleOwners(cluster)
	listener, err := net.Listen("tcp", cluster.Address())
	f.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handlers.Handler()}
	go server.Serve(listener)
	stop = func() { server.Close() }
	f.c.Cleanup(stop)
	f.meet("q", cluster.Address())
	return far, stop
}

// meet has the fixture's instance learn of an instance in another region.
func (f *fixture) meet(region, address string) {
	contacts := []membership.Contact{{ID: "h", Address: address}}
	f.gateway.stages.cluster.node.Do(func(s *membership.State) []membership.Output {
		return s.Receive(time.Now(), membership.Message{
			From:      membership.Record{ID: "h", FailureDomain: region, Address: address, Incarnation: 1, Counter: 1},
			Summaries: []membership.DomainSummary{{FailureDomain: region, Members: 1, Contacts: contacts}},
		})
	})
}

// start starts the gateway and waits until it has loaded the configuration.
func (f *fixture) start() {
	c := f.c
	at := f.location()
	node := listenPeerIn(c, at.id, at.region)
	s := settings.Gateway{Instance: at.id, Region: at.region, FailureDomain: at.domain, Regions: map[string]string{"d": "r", "e": "q", "f": "s"}, PeerAddress: nodeAddress(node),
		GraceSeconds: 8, RetryRatio: 20, RetrySlack: 1000, RetryWindowSeconds: 1, ColdOverage: 1.5, ColdSlack: 5}
	entries := []store.Entry{}
	add := func(key string, value any) {
		data, err := json.Marshal(value)
		c.Assert(err, qt.IsNil)
		entries = append(entries, store.Entry{Key: key, Value: data, Version: 1})
	}
	if f.config.Version > 0 {
		add("config", f.config)
	}
	for _, server := range f.servers {
		add("server/"+server.ID, server)
	}
	protocol, peerClient := fakeProtocol{}, peer.NewClient(nil)
	cluster := NewCluster(s, node, peerClient, storetest.New(), discardLogger())
	cluster.started = cluster.started.Add(-firstReadDelay) // no other instance starts
	f.version, f.changes, f.changed = 1, make(chan store.WatchResult), make(chan struct{}, 10)
	views := view.NewSync(fakeSource{entries, f.changes}, cluster, protocol, discardLogger(), tally.NoopScope)
	servers := NewServers(s, cluster)
	permits := NewPermits(s, cluster, peerClient, views, discardLogger(), tally.NoopScope)
	evacuations := NewEvacuations(views, discardLogger(), tally.NoopScope)
	client := NewServerClient(upstream.NewClient(nil, tally.NoopScope), protocol, permits, evacuations, markLeaving(views, cluster, discardLogger()), discardLogger(), tally.NoopScope)
	freer := NewResultFreer(protocol, client, registeredProducer(views.Current), discardLogger())
	f.scheduler = NewStageScheduler(protocol, client, servers, freer, discardLogger(), tally.NoopScope)
	f.drain = NewDrain(s.Grace())
	quarantines := NewQuarantines(discardLogger(), tally.NoopScope)
	f.gateway = New(protocol, views, servers, client, NewStageRunner(cluster, peerClient, f.scheduler, discardLogger(), tally.NoopScope), NewPlacer(cluster, peerClient, servers, client, protocol, quarantines, discardLogger(), tally.NoopScope), newTestDoor(), f.drain, discardLogger(), tally.NoopScope)
	views.Observe(permits.ObserveView)
	views.Observe(servers.Update)
	views.Observe(quarantines.ObserveView)
	views.Observe(evacuations.ObserveView)
	views.Observe(f.scheduler.Update)
	views.Observe(func(*view.View) { f.changed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx)
	go views.Run(ctx)
	if len(entries) > 0 {
		<-f.changed
	}
	frontend := NewFrontend(f.gateway, f.gateway.door, f.drain, discardLogger())
	c.Assert(frontend.Listen(ctx, "127.0.0.1:0"), qt.IsNil)
	if v := views.Current(); v != nil {
		frontend.Update(v)
	}
	f.url = "http://" + frontend.listener.Addr().String()
	c.Cleanup(func() {
		cancel()
		frontend.Close()
	})
}

// change applies one change of the store, and returns when the view has it.
func (f *fixture) change(result store.WatchResult) {
	f.version++
	result.Version = f.version
	for i := range result.Changed {
		result.Changed[i].Version = f.version
	}
	f.changes <- result
	<-f.changed
}

// Limits of the door of a test gateway.
const (
	testBodyBytes   = 32 << 20
	testConnections = 100
)

func newTestDoor() *doors.Door {
	limits := memorybudget.Door{Connections: testConnections, HeadBytes: 1 << 20, BodyBytes: testBodyBytes}
	return doors.New("clients", limits, discardLogger(), tally.NoopScope)
}

// newPlainFixture returns a fixture with one route, to a plain service.
func newPlainFixture(c *qt.C, kind route.Kind) *fixture {
	return &fixture{c: c, config: route.Configuration{Version: 1,
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/p/", Kind: kind, Split: []route.Weight{{Service: "x", Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 2, Public: true}},
		Services: []route.Service{{Name: "x"}},
	}}
}

// newEngineFixture returns a fixture with one route, with stages, to model servers.
func newEngineFixture(c *qt.C, resumable bool, stages ...route.Stage) *fixture {
	f := newPlainFixture(c, route.Stream)
	f.config.Routes[0].Resumable, f.config.Routes[0].Stages = resumable, stages
	f.config.Routes[0].Target = time.Second
	f.config.Services[0].Engine = &route.EngineProfile{}
	f.config.Services = append(f.config.Services, route.Service{Name: "stage",
		StageProfile: &stagework.ServerProfile{Slots: 1, Batch: 4, CallTime: time.Millisecond, PieceTime: time.Millisecond, ResultLife: time.Second}})
	return f
}

// do sends a request with an ID and other headers, given as pairs.
func (f *fixture) do(method, target, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, f.url+target, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	request.Host = "h"
	request.Header.Set("Id", "a1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// recorder collects texts from the handlers of servers. It is safe for concurrent use.
type recorder struct {
	mu   sync.Mutex
	seen []string
}

func (r *recorder) add(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, text)
	return len(r.seen)
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.seen...)
}

// abortConnection closes a connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
