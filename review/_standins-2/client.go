package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set when there was no complete answer.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, %d bytes, signature %q", a.status, len(a.body), a.header.Get("Response-Signature"))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a new connection, and returns the answer to it.
func send(address, method, path, id string, deadline time.Duration, headers map[string]string, body string) answer {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(connection, requestText(method, path, id, deadline, headers, body)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(connection), method)
}

func requestText(method, path, id string, deadline time.Duration, headers map[string]string, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, path, host, id, deadline.Milliseconds(), tenantKey)
	for name, value := range headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	return text.String()
}

func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
