package traffic

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
	atMostOnceRequests  = 60
	// repeatEvery is the distance of keys that are sent again.
	repeatInterval = 3
	// streamEvery is the distance of streamed requests.
	streamInterval = 2
)

// Lengths of generated answers in bytes.
const (
	shortAnswerBytes = 1000
	longAnswerBytes  = 20000
	// largeAnswerBytes is that of one stream of each long kind.
	largeAnswerBytes = 1 << 20
)

// Request is one request of a caller.
type Request struct {
	ID           string
	Organisation string
	Pipeline     string
	Kind         pipeline.Kind
	// LastStage is the type of the stage that gives the answer.
	LastStage pipeline.StageType
	Key       string
	Stream    bool
	Async     bool
	// Repeats is how many times the request is sent again with its key.
	Repeats int
	Body    []byte
}

// callerBody is the JSON document of a request. The stand-ins find their way to
// the request by request_id.
type callerBody struct {
	RequestID   string `json:"request_id"`
	Text        string `json:"text"`
	AnswerBytes int    `json:"answer_bytes"`
}

// Plan returns requests of all kinds of a deployment in random order. Plans with
// different prefixes have no request ID or key in common.
func Plan(set *pipeline.Set, random *rand.Rand, prefix string) []Request {
	var requests []Request
	for i := range set.Pipelines {
		p := &set.Pipelines[i]
		for _, kind := range p.Kinds {
			for n := range requestCount(kind) {
				organisation := set.Deployment.Organisations[len(requests)%len(set.Deployment.Organisations)]
				requests = append(requests, newRequest(p, kind, organisation.Name, prefix, n))
			}
		}
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	return requests
}

func requestCount(kind pipeline.Kind) int {
	switch {
	case kind.AtMostOnce():
		return atMostOnceRequests
	case kind.Class == pipeline.ClassInteractive:
		return interactiveRequests
	case kind.Class == pipeline.ClassLong:
		return longRequests
	}
	return normalRequests
}

// newRequest returns the n-th request of a kind. The first one of a long kind is
// a large stream; the other durable ones are fetched later.
func newRequest(p *pipeline.Pipeline, kind pipeline.Kind, organisation, prefix string, n int) Request {
	r := Request{
		ID:           fmt.Sprintf("%s%s-%s-%d", prefix, p.Name, kind.Name, n),
		Organisation: organisation,
		Pipeline:     p.Name,
		Kind:         kind,
		LastStage:    p.Stages[len(p.Stages)-1].Type,
	}
	length := shortAnswerBytes + n
	switch {
	case kind.Durable && n == 0:
		r.Stream = true
		length = largeAnswerBytes
	case kind.Durable:
		r.Async = true
		length = longAnswerBytes + n
	case kind.AtMostOnce():
		r.Key = "key-" + r.ID
		if n%repeatInterval == 0 {
			r.Repeats = 1 + n%2
		}
	default:
		r.Stream = r.LastStage == pipeline.StageGenerate && n%streamInterval == 0
	}
	r.Body, _ = json.Marshal(callerBody{RequestID: r.ID, Text: "request " + r.ID, AnswerBytes: length})
	return r
}
