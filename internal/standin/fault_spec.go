package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Fault targets other than pools and backend servers.
const (
	targetStore = "store"
	targetList  = "list"
)

// SetFault sets one fault from a text of the form TARGET:NAME=VALUE. The target is
// "store", "list" (the instance list), a pool or a backend server. The name is a
// field of the JSON document at the target's PathFaults; a dot separates a map from
// its key. Examples:
// "store:delay_ms=50", "ledger-1:slowdown=10", "ledger:share.error=0.1".
func (c *Cluster) SetFault(text string) error {
	target, setting, ok := strings.Cut(text, ":")
	name, value, hasValue := strings.Cut(setting, "=")
	if !ok || !hasValue {
		return fmt.Errorf("fault %q does not have the form TARGET:NAME=VALUE", text)
	}
	document := value
	for _, field := range slices.Backward(strings.Split(name, ".")) {
		document = fmt.Sprintf("{%q: %s}", field, document)
	}
	if err := c.apply(target, document); err != nil {
		return fmt.Errorf("fault %q: %w", text, err)
	}
	return nil
}

func (c *Cluster) apply(target, document string) error {
	switch target {
	case targetStore:
		return merge(document, c.Store.Faults(), c.Store.SetFaults)
	case targetList:
		return merge(document, c.InstanceList.Faults(), c.InstanceList.SetFaults)
	}
	found := false
	for _, server := range c.Servers {
		if member := server.Member(); member.ID != target && member.Pool != target {
			continue
		}
		found = true
		b := server.Backend()
		if err := merge(document, b.Faults(), b.SetFaults); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("no pool or backend server %q", target)
	}
	return nil
}

// merge overwrites the fields of faults that a JSON document sets. Unknown fields are
// an error.
func merge[F any](document string, faults F, set func(F)) error {
	decoder := json.NewDecoder(bytes.NewReader([]byte(document)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return err
	}
	set(faults)
	return nil
}
