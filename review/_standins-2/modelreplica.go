package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heldResults are the results of stages that their makers hold.
type heldResults struct {
	mu   sync.Mutex
	live map[string]bool
}

func (h *heldResults) add(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live[handle] = true
}

func (h *heldResults) free(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.live, handle)
}

// all reports whether all handles of an Inputs header are held.
func (h *heldResults) all(inputs string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, handle := range strings.Split(inputs, ",") {
		if !h.live[strings.TrimSpace(handle)] {
			return false
		}
	}
	return true
}

// modelReplica is a model replica that writes its answers itself, so that it can send a second
// answer late.
type modelReplica struct {
	*replica
	held *heldResults
	// fetchDelay is how long a request waits until its inputs are fetched.
	fetchDelay func(request *http.Request) time.Duration
	// repeats reports whether the answer "inputs are gone" to a request is sent a second time,
	// at the point where the next answer on the connection is expected.
	repeats func(id string) bool
	note    func(format string, arguments ...any)
}

func (m *modelReplica) start() *modelReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("replica: %v", err)
	}
	m.listener, m.address, m.born = listener, listener.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serveConnection(connection)
		}
	}()
	return m
}

func (m *modelReplica) serveConnection(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Attempt-Id")
		writer := &lateExtra{Writer: connection, text: extra, note: func() { m.note("replica %s sends an extra answer late, before that to %s", m.id, id) }}
		if extra, err = m.answer(writer, request, id); err != nil {
			return
		}
	}
}

// lateExtra writes an extra answer before the first bytes of the next one.
type lateExtra struct {
	io.Writer
	text string
	note func()
}

// Write writes the bytes of an answer.
func (e *lateExtra) Write(data []byte) (int, error) {
	if e.text != "" {
		e.note()
		text := e.text
		e.text = ""
		if _, err := io.WriteString(e.Writer, text); err != nil {
			return 0, err
		}
	}
	return e.Writer.Write(data)
}

// answer answers one request. It returns what is sent again before the next answer.
func (m *modelReplica) answer(w io.Writer, request *http.Request, id string) (again string, err error) {
	common := fmt.Sprintf("Request-Attempt-Id: %s\r\nReplica-Id: %s\r\nReplica-Load: 0,0,%d\r\n", id, m.id, m.slots)
	short := func(status, more, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, common, more, len(body), body)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		_, err = io.WriteString(w, short("421 Misdirected Request", "", ""))
		return "", err
	}
	switch request.URL.Path {
	case "/coltsfootdrift/report":
		body := fmt.Sprintf(`{"stage":"unified","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv-used":0,"kv-total":300000,"handles":0,"born":%d}`, m.born)
		_, err = io.WriteString(w, short("200 OK", "Content-Type: application/json\r\n", body))
		return "", err
	case "/coltsfootdrift/kv-list":
		_, err = io.WriteString(w, short("200 OK", "Content-Type: application/json\r\n", `{"epoch":1,"next":1,"held":[]}`))
		return "", err
	}
	if inputs := request.Header.Get("Inputs"); inputs != "" {
		time.Sleep(m.fetchDelay(request))
		if !m.held.all(inputs) {
			text := short("409 Conflict", "Not-Executed: 1\r\n", "")
			m.note("replica %s: inputs of %s are gone, 409 with Not-Executed", m.id, id)
			if m.repeats(id) {
				again = text
			}
			_, err = io.WriteString(w, text)
			return again, err
		}
	}
	m.runs.add(run{ID: id, Replica: m.id, Service: m.service, Path: request.URL.Path, At: time.Now()})
	m.note("replica %s runs %s", m.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Signature: sig-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", common, m.id, id)
	if _, err = io.WriteString(w, head); err != nil {
		return "", err
	}
	for n := 1; n <= m.events; n++ {
		time.Sleep(m.eventGap)
		event := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
		if _, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return "", err
		}
	}
	_, err = io.WriteString(w, "0\r\n\r\n")
	return "", err
}
