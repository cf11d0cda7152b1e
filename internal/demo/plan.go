package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Numbers of requests by class, and of at-most-once kinds.
const (
	interactiveRequests = 120
	normalRequests      = 40
	longRequests        = 6
	onceRequests        = 60
	// repeatEvery is the distance of keys that are sent again.
	repeatEvery = 3
	// streamEvery is the distance of streamed requests.
	streamEvery = 2
)

// Lengths of generated answers in bytes.
const (
	shortAnswerBytes = 1000
	longAnswerBytes  = 20000
	// largeAnswerBytes is that of one stream of each long kind.
	largeAnswerBytes = 1 << 20
)

// request is one request of the demo.
type request struct {
	id           string
	organisation string
	pipeline     string
	kind         pipeline.Kind
	// lastStage is the type of the stage that gives the answer.
	lastStage pipeline.StageType
	key       string
	stream    bool
	async     bool
	// repeats is how many times the request is sent again with its key.
	repeats int
	body    []byte
}

// callerBody is the JSON document of a request. The stand-ins find their way to
// the request by request_id.
type callerBody struct {
	RequestID   string `json:"request_id"`
	Text        string `json:"text"`
	AnswerBytes int    `json:"answer_bytes"`
}

// plan returns the requests of a deployment in random order.
func plan(set *pipeline.Set, random *rand.Rand) []request {
	var requests []request
	for i := range set.Pipelines {
		p := &set.Pipelines[i]
		for _, kind := range p.Kinds {
			for n := range amount(kind) {
				organisation := set.Deployment.Organisations[len(requests)%len(set.Deployment.Organisations)]
				requests = append(requests, newRequest(p, kind, organisation.Name, n))
			}
		}
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	return requests
}

func amount(kind pipeline.Kind) int {
	switch {
	case kind.AtMostOnce():
		return onceRequests
	case kind.Class == pipeline.ClassInteractive:
		return interactiveRequests
	case kind.Class == pipeline.ClassLong:
		return longRequests
	}
	return normalRequests
}

// newRequest returns the n-th request of a kind. The first one of a long kind is
// a large stream; the other durable ones are fetched later.
func newRequest(p *pipeline.Pipeline, kind pipeline.Kind, organisation string, n int) request {
	r := request{
		id:           fmt.Sprintf("%s-%s-%d", p.Name, kind.Name, n),
		organisation: organisation,
		pipeline:     p.Name,
		kind:         kind,
		lastStage:    p.Stages[len(p.Stages)-1].Type,
	}
	length := shortAnswerBytes + n
	switch {
	case kind.Durable && n == 0:
		r.stream = true
		length = largeAnswerBytes
	case kind.Durable:
		r.async = true
		length = longAnswerBytes + n
	case kind.AtMostOnce():
		r.key = "key-" + r.id
		if n%repeatEvery == 0 {
			r.repeats = 1 + n%2
		}
	default:
		r.stream = r.lastStage == pipeline.StageGenerate && n%streamEvery == 0
	}
	r.body, _ = json.Marshal(callerBody{RequestID: r.id, Text: "demo request " + r.id, AnswerBytes: length})
	return r
}
