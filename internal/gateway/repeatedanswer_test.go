package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// lostInputsAnswer is the answer of a model server to a request whose inputs do not exist.
const lostInputsAnswer = "HTTP/1.1 409 Conflict\r\nId: a1\r\nNot-Run: inputs\r\nContent-Length: 0\r\n\r\n"

// addRepeatingServer adds a model server that answers the first request with lostInputsAnswer,
// and runs the later ones. It writes the first answer once more before the next one on that
// connection. It records the requests that it runs.
func (f *fixture) addRepeatingServer(runs *recorder) {
	var sends recorder
	f.addRawServer(func(conn net.Conn) { serveRepeating(conn, &sends, runs) })
}

func serveRepeating(conn net.Conn, sends, runs *recorder) {
	defer conn.Close()
	reader, repeated := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if id := request.Header.Get("Id"); sends.add(id) == 1 {
			repeated = lostInputsAnswer
			_, _ = io.WriteString(conn, lostInputsAnswer)
			continue
		}
		runs.add(request.Header.Get("Inputs"))
		events := eventText(1, 2)
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nId: a1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", repeated, len(events), events)
		repeated = ""
	}
}

// Guards against a late second copy of "inputs are lost" that is taken for the answer to the
// second send of the request: the client gets a 503 although the request has run.
func TestRepeatedLossOfInputsDoesNotAnswerTheNextSend(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	var calls, freed, runs recorder
	f.addStageServer(&calls, &freed)
	f.addRepeatingServer(&runs)
	f.start()
	answer, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusOK)
	c.Check(body, qt.Equals, eventText(1, 2))
	c.Check(runs.all(), qt.HasLen, 1)
}
