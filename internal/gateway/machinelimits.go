package gateway

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// doorSet holds the doors of a gateway and the memory for the answers that it receives.
type doorSet struct {
	plan                           memorybudget.Plan
	clients, ready, metrics, peers *doors.Door
	answers                        *answermemory.Account
}

// newDoorSet divides the machine of the settings among the doors.
func newDoorSet(s settings.Gateway, logger *slog.Logger, scope tally.Scope) *doorSet {
	plan := doors.DivideMachine(s.MemoryMB, s.MaxDescriptors)
	return &doorSet{
		plan: plan, answers: answermemory.NewAccount(plan.AnswerBytes),
		clients: doors.New("clients", plan.Clients, logger, scope), ready: doors.New("ready", plan.Ready, logger, scope),
		metrics: doors.New("metrics", plan.Metrics, logger, scope), peers: doors.New("peers", plan.Peers, logger, scope),
	}
}

// status returns what the doors may hold and hold, for the status page.
func (d *doorSet) status() any {
	return map[string]any{
		"plan": d.plan, "answers": d.answers.Usage(),
		"clients": d.clients.Usage(), "ready": d.ready.Usage(), "metrics": d.metrics.Usage(), "peers": d.peers.Usage(),
	}
}
