package upstream

import "slices"

// Sends are the earlier sends of one request. The zero value is that of a request that was not
// sent yet. It is not safe for concurrent use.
//
// A connection carries a request at most once. A server may write an answer again, late, where
// the next one on that connection is due. Its ID distinguishes it from the answers to other
// requests, but not from the answer to a second send of the same request.
type Sends struct {
	// connections are the numbers of the connections that carried the request.
	connections []uint64
}

func (s *Sends) add(cn *conn) {
	if s != nil {
		s.connections = append(s.connections, cn.number)
	}
}

// carriedBy reports whether a connection has carried the request.
func (s *Sends) carriedBy(cn *conn) bool {
	return s != nil && slices.Contains(s.connections, cn.number)
}
