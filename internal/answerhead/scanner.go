package answerhead

// Scanner follows the lines of one head as its bytes arrive. It sees what net/http leaves out of
// a response. The zero value is at the begin of a head.
type Scanner struct {
	// Bytes and Lines are the size of the head so far.
	Bytes, Lines int
	// Ended is true after the empty line that ends the head. The body follows.
	Ended bool

	// lineBytes is the number of bytes of the present line without its end.
	lineBytes int
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
			s.lineBytes = 0
		case '\r':
		default:
			if s.Lines > 0 && s.lineBytes == 0 && (b == ' ' || b == '\t') {
				return &MalformedError{"line that begins with a blank"}
			}
			s.lineBytes++
		}
	}
	return nil
}
