package gateway

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// clientDoor is the door of the clients with the memory for their answers.
type clientDoor struct {
	door    *doors.Door
	answers *doors.Memory
}

func newPlan(s settings.Gateway) memorybudget.Plan {
	return doors.DivideMachine(s.MemoryMB, s.MaxDescriptors)
}

func newClientDoor(plan memorybudget.Plan, logger *slog.Logger, scope tally.Scope) clientDoor {
	return clientDoor{doors.New("clients", plan.Clients, logger, scope), doors.NewMemory(plan.AnswerBytes)}
}
