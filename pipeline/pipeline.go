// Package pipeline defines the configuration that operators write in files:
// deployments, pipelines, stages, request kinds and organisations. It reads these
// files from a file system that the caller passes and checks their rules. It is the
// configuration of entry instances; that of gateways is in package route.
package pipeline

import "time"

// StageType names the protocol of a stage's backend servers.
type StageType string

// Stage types.
const (
	StageEncode   StageType = "encode"
	StageRetrieve StageType = "retrieve"
	StageRerank   StageType = "rerank"
	StageGenerate StageType = "generate"
	StageService  StageType = "service"
)

// Repeat says whether a request kind may run more than once.
type Repeat string

// Repeat policies.
const (
	RepeatIdempotent Repeat = "idempotent"
	RepeatAtMostOnce Repeat = "at_most_once"
)

// Class is the priority class of a request kind. It separates short from long
// requests in queues and slots.
type Class string

// Classes, highest precedence first.
const (
	ClassInteractive Class = "interactive"
	ClassNormal      Class = "normal"
	ClassLong        Class = "long"
)

// Limits of the number of stages of one pipeline.
const (
	MinStages = 1
	MaxStages = 6
)

// Stage is one step of a pipeline.
type Stage struct {
	Name string    `json:"name"`
	Type StageType `json:"type"`
	// Pool names the pool of backend servers that serve the stage.
	Pool string `json:"pool"`
	// Model is the model that an engine must have loaded; it is set only for stages
	// of type StageGenerate.
	Model string `json:"model,omitempty"`
	// After lists the stages whose results this stage reads. Empty means the
	// preceding stage of the file, or the body of the request for the first stage.
	After []string `json:"after,omitempty"`
	// Once marks a stage whose call is not idempotent and must not be sent twice.
	Once bool `json:"once,omitempty"`
	// MaxAnswerBytes limits the size of the stage's result; 0 means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64 `json:"max_answer_bytes,omitempty"`
}

// DefaultMaxAnswerBytes is the size limit of the result of a stage that sets none.
const DefaultMaxAnswerBytes int64 = 16 << 20

// AnswerLimit returns the size limit of the stage's result in bytes.
func (s Stage) AnswerLimit() int64 {
	if s.MaxAnswerBytes == 0 {
		return DefaultMaxAnswerBytes
	}
	return s.MaxAnswerBytes
}

// Cost limits the resources that one request may use.
type Cost struct {
	// Tokens limits the number of generated tokens; 0 means no limit.
	Tokens int `json:"tokens,omitempty"`
	// LinkBytes limits the bytes sent and received over the link between regions; 0
	// means that the request stays in its region.
	LinkBytes int64 `json:"link_bytes,omitempty"`
}

// Kind is a request kind of a pipeline.
type Kind struct {
	Name   string `json:"name"`
	Repeat Repeat `json:"repeat"`
	Class  Class  `json:"class"`
	// MaxWaitMS is the longest deadline in milliseconds, and the deadline of a
	// request that sets none.
	MaxWaitMS int64 `json:"max_wait_ms"`
	// Priority orders requests of one class; a higher one goes first.
	Priority int  `json:"priority,omitempty"`
	Cost     Cost `json:"cost"`
	// Durable requests are accepted only after they are recorded in the store; their
	// results may be fetched later.
	Durable bool `json:"durable,omitempty"`
	// RetentionMS is the time in milliseconds for which the response to a request
	// with an idempotency key, or the result of a durable request, is kept; 0 means
	// DefaultRetention.
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// DefaultRetention is the time for which responses are kept by default.
const DefaultRetention = time.Hour

// MaxWait returns the longest deadline of the kind.
func (k Kind) MaxWait() time.Duration {
	return time.Duration(k.MaxWaitMS) * time.Millisecond
}

// Retention returns the time for which responses to requests of the kind are kept.
func (k Kind) Retention() time.Duration {
	if k.RetentionMS == 0 {
		return DefaultRetention
	}
	return time.Duration(k.RetentionMS) * time.Millisecond
}

// AtMostOnce reports whether a request of the kind must not run twice.
func (k Kind) AtMostOnce() bool {
	return k.Repeat == RepeatAtMostOnce
}

// Pipeline is a named graph of stages and the request kinds that use it.
type Pipeline struct {
	Name   string  `json:"pipeline"`
	Stages []Stage `json:"stages"`
	Kinds  []Kind  `json:"kinds"`
}

// Kind returns the kind with the given name.
func (p *Pipeline) Kind(name string) (Kind, bool) {
	for _, kind := range p.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

// Organisation sends requests; it has a rate limit and a share under contention.
type Organisation struct {
	Name string `json:"name"`
	// RequestsPerSecond is the sustained rate; 0 means no limit of its own.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests above the rate that may arrive at once.
	Burst int `json:"burst,omitempty"`
	// Weight is the organisation's relative share under contention; 0 means 1.
	Weight int `json:"weight,omitempty"`
}

// Region is a group of failure domains with low network latency between them.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
}

// Pool is a set of equivalent backend servers.
type Pool struct {
	Name string    `json:"name"`
	Type StageType `json:"type"`
	// Slots is the number of requests that one backend server runs at once.
	Slots int `json:"slots"`
	// Models lists what each engine of the pool must have loaded.
	Models []string `json:"models,omitempty"`
	// FencesOrders is true when the engines refuse orders with an old fencing token.
	FencesOrders bool `json:"fences_orders,omitempty"`
}

// Deployment describes the regions, pools, organisations and limits that all
// pipelines share.
type Deployment struct {
	Name    string   `json:"deployment"`
	Regions []Region `json:"regions"`
	Pools   []Pool   `json:"pools"`
	// StoreRegion is the region of the key-value service; empty when the service is
	// equally near to every region.
	StoreRegion string `json:"store_region,omitempty"`
	// LinkMbits is the capacity of the link between regions, each way, in megabits per second.
	LinkMbits float64 `json:"link_mbits"`
	// WeightLoadsPerMinute is the rate limit of the weight store.
	WeightLoadsPerMinute float64        `json:"weight_loads_per_minute,omitempty"`
	Organisations        []Organisation `json:"organisations"`
}

// Set is a complete configuration: one deployment and its pipelines.
type Set struct {
	Deployment Deployment `json:"deployment"`
	Pipelines  []Pipeline `json:"pipelines"`
	// organisations holds indices of Deployment.Organisations by name.
	organisations map[string]int
}

// Index builds the index that Organisation uses. Call it after the last change to
// the set and before the set is shared between goroutines.
func (s *Set) Index() {
	s.organisations = make(map[string]int, len(s.Deployment.Organisations))
	for i, organisation := range s.Deployment.Organisations {
		if _, taken := s.organisations[organisation.Name]; !taken {
			s.organisations[organisation.Name] = i
		}
	}
}

// Pipeline returns the pipeline with the given name.
func (s *Set) Pipeline(name string) (*Pipeline, bool) {
	for i := range s.Pipelines {
		if s.Pipelines[i].Name == name {
			return &s.Pipelines[i], true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (s *Set) Pool(name string) (Pool, bool) {
	for _, pool := range s.Deployment.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Organisation returns the organisation with the given name.
func (s *Set) Organisation(name string) (Organisation, bool) {
	if s.organisations != nil {
		i, ok := s.organisations[name]
		if !ok {
			return Organisation{}, false
		}
		return s.Deployment.Organisations[i], true
	}
	for _, organisation := range s.Deployment.Organisations {
		if organisation.Name == name {
			return organisation, true
		}
	}
	return Organisation{}, false
}
