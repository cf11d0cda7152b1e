package traffic

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Numbers of requests of each kind, by class, and of at-most-once kinds.
const (
	interactiveRequests = 120
	normalRequests      = 40
	longRequests        = 6
	atMostOnceRequests  = 60
	// requestsPerRepeat is the number of requests with a key of which one is sent
	// again: every third one.
	requestsPerRepeat = 3
	// requestsPerStream is the number of requests of which one is streamed: every
	// second one.
	requestsPerStream = 2
)

// Lengths of generated answers in bytes.
const (
	shortAnswerBytes = 1000
	longAnswerBytes  = 20000
	// largeAnswerBytes is the length of one stream of each durable kind.
	largeAnswerBytes = 1 << 20
)

// Request is one request of a caller.
type Request struct {
	ID           string
	Organisation string
	Pipeline     string
	Kind         pipeline.Kind
	// LastStage is the type of the last stage, whose output is the answer.
	LastStage pipeline.StageType
	Key       string
	Stream    bool
	Async     bool
	// Repeats is the number of times that the request is sent again with its key.
	Repeats int
	Body    []byte
}

// callerBody is the JSON body of a request. The stand-ins record its request_id, by
// which runs are matched with requests.
type callerBody struct {
	RequestID   string `json:"request_id"`
	Text        string `json:"text"`
	AnswerBytes int    `json:"answer_bytes"`
}

// Plan returns requests of all kinds of a deployment in random order. The prefix
// makes request IDs and keys unique: plans with different prefixes share none.
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

// newRequest returns the n-th request of a kind. The first request of a durable kind
// is a large stream; the others are asynchronous, and their answers are fetched
// later.
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
		if n%requestsPerRepeat == 0 {
			r.Repeats = 1 + n%2
		}
	default:
		r.Stream = r.LastStage == pipeline.StageGenerate && n%requestsPerStream == 0
	}
	r.Body, _ = json.Marshal(callerBody{RequestID: r.ID, Text: "request " + r.ID, AnswerBytes: length})
	return r
}
