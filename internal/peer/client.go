package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/transfer"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Timeouts of calls. AwaitClaim ends with its context or after maxAwait.
const (
	callTimeout  = 3 * time.Second
	leaveTimeout = 500 * time.Millisecond
	maxAwait     = 30 * time.Second
)

// Connections to other instances.
const (
	// dialTimeout is many times the delay between regions.
	dialTimeout   = 500 * time.Millisecond
	probeInterval = time.Second
	probeCount    = 2
	// maxIdlePerPeer covers the stages that wait at one peer under usual load.
	maxIdlePerPeer = 16
)

// maxHeaderBytes limits the head of a response.
const maxHeaderBytes = 16 << 10

// maxResponseBytes limits the size of a response. The largest one is a whole view: a
// configuration of up to 1 MB and the entries of all backend servers.
const maxResponseBytes = 4 << 20

// pullLimits bound the pull of a view, which grows with the deployment. The caller gives the
// time until an answer begins.
var pullLimits = transfer.Limits{Start: callTimeout, Stall: 1500 * time.Millisecond, MinBytes: 4 << 10}

// Client calls other instances.
type Client struct {
	http *http.Client
	// pulls is for calls that are bounded by pullLimits. It has connections of its own.
	pulls *http.Client
}

// NewClient returns a client with its own connections. The memory of answers is reserved in an
// account, apart from that of views, of which one is pulled at a time; nil for no bound.
func NewClient(memory *answermemory.Account) *Client {
	dialer := net.Dialer{
		// Probes detect connections that a network partition has interrupted.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	return NewClientWithDial(dialer.DialContext, memory)
}

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial transfer.DialFunc, memory *answermemory.Account) *Client {
	newTransport := func() http.RoundTripper {
		transport := &http.Transport{
			DialContext: dial.WithTimeout(dialTimeout), MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes,
		}
		return httpbody.Transport{Limit: maxResponseBytes, Next: answerhead.Transport{Next: transport}}
	}
	return &Client{
		http:  &http.Client{Transport: answermemory.Transport{Next: newTransport(), Account: memory}},
		pulls: &http.Client{Transport: transfer.Transport{Next: newTransport(), Limits: pullLimits}},
	}
}

func (c *Client) peer(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, c.http)
}

// Head returns the encoded change from a revision to the head of a peer, nil when
// there is none.
func (c *Client) Head(ctx context.Context, address string, haveRevision int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.peer(address).PullConfiguration(ctx, &peerpb.PullConfigurationRequest{HaveRevision: haveRevision})
	return response.GetHead(), fromTwirp(err, "pull_configuration", address)
}

// Parts returns the first of the parts with the given SHA-256 digests that the
// peer holds and that fit one answer.
func (c *Client) Parts(ctx context.Context, address string, digests [][]byte) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.peer(address).PullConfiguration(ctx, &peerpb.PullConfigurationRequest{PartDigests: digests})
	return response.GetParts(), fromTwirp(err, "pull_configuration", address)
}

// AppendClaims passes records to the appender of a shard.
func (c *Client) AppendClaims(ctx context.Context, address string, shard int, records [][]byte) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.peer(address).AppendClaims(ctx, &peerpb.AppendClaimsRequest{Shard: int32(shard), Records: records})
	return response.GetResults(), fromTwirp(err, "append_claims", address)
}

// AwaitClaim requests the outcome of an attempt from its holder and waits for it.
func (c *Client) AwaitClaim(ctx context.Context, address string, claim []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAwait)
	defer cancel()
	response, err := c.peer(address).AwaitClaim(ctx, &peerpb.AwaitClaimRequest{Claim: claim})
	return response.GetOutcome(), fromTwirp(err, "await_claim", address)
}

// HandOverJob offers the durable job with an ID to another instance.
func (c *Client) HandOverJob(ctx context.Context, address string, id []byte) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.peer(address).HandOverJob(ctx, &peerpb.HandOverJobRequest{Job: id})
	return response.GetAccepted(), fromTwirp(err, "hand_over_job", address)
}

// RunStage runs a stage at the instance that schedules the calls of its service. Its
// only time limit is the context.
func (c *Client) RunStage(ctx context.Context, address string, request *peerpb.RunStageRequest) (*peerpb.RunStageResponse, error) {
	response, err := c.peer(address).RunStage(ctx, request)
	return response, fromTwirp(err, "run_stage", address)
}

// AwaitStage continues to wait for a pending job of RunStage. Its only time limit is
// the context.
func (c *Client) AwaitStage(ctx context.Context, address string, request *peerpb.AwaitStageRequest) (*peerpb.RunStageResponse, error) {
	response, err := c.peer(address).AwaitStage(ctx, request)
	return response, fromTwirp(err, "await_stage", address)
}

// PlacePrompt requests the model server for a prompt from the instance that places
// the prompts of the service. Its only time limit is the context.
func (c *Client) PlacePrompt(ctx context.Context, address string, request *peerpb.PlacePromptRequest) (*peerpb.PlacePromptResponse, error) {
	response, err := c.peer(address).PlacePrompt(ctx, request)
	return response, fromTwirp(err, "place_prompt", address)
}

// ReportPlacement reports the result of a placement to the instance that made it.
func (c *Client) ReportPlacement(ctx context.Context, address string, request *peerpb.ReportPlacementRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peer(address).ReportPlacement(ctx, request)
	return fromTwirp(err, "report_placement", address)
}

// AcquirePermit asks the instance that gives out the permits for a server. Its only time
// limit is the context.
func (c *Client) AcquirePermit(ctx context.Context, address string, request *peerpb.AcquirePermitRequest) (*peerpb.AcquirePermitResponse, error) {
	response, err := c.peer(address).AcquirePermit(ctx, request)
	return response, fromTwirp(err, "acquire_permit", address)
}

// ReportCrash reports the end of a model server under a request.
func (c *Client) ReportCrash(ctx context.Context, address string, request *peerpb.ReportCrashRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peer(address).ReportCrash(ctx, request)
	return fromTwirp(err, "report_crash", address)
}

// SharePlacements sends the cached prompt parts of model servers to an instance of
// another region.
func (c *Client) SharePlacements(ctx context.Context, address string, request *peerpb.SharePlacementsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peer(address).SharePlacements(ctx, request)
	return fromTwirp(err, "share_placements", address)
}

// FreeResults frees results at the instance that schedules the calls of a service.
func (c *Client) FreeResults(ctx context.Context, address string, request *peerpb.FreeResultsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.peer(address).FreeResults(ctx, request)
	return fromTwirp(err, "free_results", address)
}

// FindOwners asks an instance of another region for the instances there that own a key. Its
// only time limit is the context.
func (c *Client) FindOwners(ctx context.Context, address, key string) (*peerpb.FindOwnersResponse, error) {
	response, err := c.peer(address).FindOwners(ctx, &peerpb.FindOwnersRequest{Key: key})
	return response, fromTwirp(err, "find_owners", address)
}

// Leave reports to an instance that a member stops.
func (c *Client) Leave(ctx context.Context, address string, member membership.Record) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := c.peer(address).Leave(ctx, &peerpb.LeaveRequest{Member: encodeRecord(member)})
	return fromTwirp(err, "leave", address)
}
