package answerhead

import "net/http"

// transferEncodingName begins the line of the field.
const transferEncodingName = "transfer-encoding:"

// Scanner follows the lines of one head as its bytes arrive. It sees what net/http leaves out of
// a response. The zero value is at the begin of a head.
type Scanner struct {
	// Bytes and Lines are the size of the head so far.
	Bytes, Lines int
	// Ended is true after the empty line that ends the head. The body follows.
	Ended bool

	// lineBytes is the number of bytes of the present line without its end, of which nameBytes
	// match transferEncodingName.
	lineBytes, nameBytes int
	transferEncoding     bool
}

// Scan follows the part of data that belongs to the head. It returns a *MalformedError for a
// line that begins with a blank: it continues the value of the field before (RFC 9112, section
// 5.2), which its sender may not have meant.
func (s *Scanner) Scan(data []byte) error {
	for _, b := range data {
		if s.Ended {
			return nil
		}
		s.Bytes++
		switch b {
		case '\n':
			s.Lines++
			s.Ended = s.lineBytes == 0
			s.lineBytes, s.nameBytes = 0, 0
		case '\r':
		default:
			if s.Lines > 0 && s.lineBytes == 0 && (b == ' ' || b == '\t') {
				return &MalformedError{"line that begins with a blank"}
			}
			s.matchName(b)
			s.lineBytes++
		}
	}
	return nil
}

// matchName compares a byte of a line with transferEncodingName, whatever its case.
func (s *Scanner) matchName(b byte) {
	if s.nameBytes != s.lineBytes || s.nameBytes == len(transferEncodingName) || b|0x20 != transferEncodingName[s.nameBytes]|0x20 {
		return
	}
	s.nameBytes++
	if s.nameBytes == len(transferEncodingName) {
		s.transferEncoding = true
	}
}

// Check checks a response whose head was scanned like the function Check. It also rejects an
// HTTP/1.0 response with Transfer-Encoding, whose framing is faulty (RFC 9112, section 6.1).
func (s *Scanner) Check(response *http.Response) error {
	if s.transferEncoding && !response.ProtoAtLeast(1, 1) {
		return &MalformedError{"HTTP/1.0 with Transfer-Encoding"}
	}
	return Check(response)
}
