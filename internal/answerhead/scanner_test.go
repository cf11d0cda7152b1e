package answerhead

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a head that is judged by how its bytes arrive, and against bytes of the body
// that are taken for its lines.
func TestHeadsAreScannedInAnyParts(t *testing.T) {
	const first = "HTTP/1.0 200 OK\r\n"
	for name, v := range map[string]struct {
		lines                 string
		malformed, unreadable bool
	}{
		"sound":                       {lines: "Id: a 1\r\n"},
		"bare line feeds":             {lines: "Id: a\n"},
		"blank before a name":         {lines: "Id: a\r\n Odd: a\r\n", malformed: true},
		"tab before a name":           {lines: "Id: a\r\n\tOdd: a\r\n", malformed: true},
		"blanks only":                 {lines: "Id: a\r\n  \r\n", malformed: true},
		"blank before the first name": {lines: " Id: a\r\n", malformed: true},
		"coding":                      {lines: "tRANSFER-eNCODING: chunked\r\n", unreadable: true},
		"longer name":                 {lines: "Transfer-Encodings: a\r\nX-Transfer-Encoding: a\r\n"},
		"value":                       {lines: "A: transfer-encoding: chunked\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			head := first + v.lines + "\r\n"
			data := head + " body\r\nTransfer-Encoding: chunked\r\n\r\n"
			for n := range len(data) {
				var s Scanner
				err := s.Scan([]byte(data[:n]))
				if err == nil {
					err = s.Scan([]byte(data[n:]))
				}
				if v.malformed {
					c.Assert(err, qt.ErrorAs, new(*MalformedError), qt.Commentf("parts at %d", n))
					continue
				}
				c.Assert(err, qt.IsNil, qt.Commentf("parts at %d", n))
				c.Assert(s.Ended, qt.IsTrue)
				c.Assert(s.Bytes, qt.Equals, len(head))
				response := &http.Response{Proto: "HTTP/1.0", ProtoMajor: 1, StatusCode: http.StatusOK}
				c.Assert(s.Check(response) != nil, qt.Equals, v.unreadable, qt.Commentf("parts at %d", n))
				response.ProtoMinor = 1
				c.Assert(s.Check(response), qt.IsNil)
			}
		})
	}
}
