package gateway

import (
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

func encodeResults(results []stagework.Result) []*peerpb.StageResult {
	encoded := make([]*peerpb.StageResult, len(results))
	for i, r := range results {
		encoded[i] = &peerpb.StageResult{Handle: r.Handle, Server: r.Producer.Server, Incarnation: r.Producer.Incarnation}
	}
	return encoded
}

func decodeResults(encoded []*peerpb.StageResult) []stagework.Result {
	results := make([]stagework.Result, len(encoded))
	for i, r := range encoded {
		results[i] = stagework.Result{Handle: r.Handle, Producer: stagework.Producer{Server: r.Server, Incarnation: r.Incarnation}}
	}
	return results
}
