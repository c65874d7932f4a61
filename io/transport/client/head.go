package client

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Limits of the status of a final response. RFC 9110, section 15, calls statuses
// outside 100 to 599 invalid; those below 200 are interim.
const (
	minStatus = 200
	maxStatus = 599
)

// errHeadIncomplete reports a head that does not end within what was recorded of it.
var errHeadIncomplete = errors.New("head of the response is incomplete")

// checkHead returns an error unless b begins with any number of interim heads and a
// final one as in RFC 9112. net/http has parsed them already, but accepts more.
func checkHead(b []byte) error {
	for {
		line, rest, err := cutLine(b)
		if err != nil {
			return err
		}
		s, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		var f framing
		if f, b, err = parseFields(rest); err != nil {
			return err
		}
		if err := f.check(s); err != nil {
			return err
		}
		if s.code >= minStatus {
			return nil
		}
	}
}

// cutLine returns the first line of b without its terminator, and what follows.
func cutLine(b []byte) (line, rest []byte, err error) {
	line, rest, ok := bytes.Cut(b, []byte("\n"))
	if !ok {
		return nil, nil, errHeadIncomplete
	}
	return bytes.TrimSuffix(line, []byte("\r")), rest, nil
}

// statusLine is the first line of a head.
type statusLine struct {
	// minor is the minor version of HTTP/1.
	minor int
	code  int
}

// mayHaveBody reports whether a response to a request other than HEAD may have a body.
func (s statusLine) mayHaveBody() bool {
	return s.code >= minStatus && s.code != http.StatusNoContent
}

// parseStatusLine parses a status line. The space before a missing reason may be
// missing too.
func parseStatusLine(line []byte) (statusLine, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isNumber(minor) || len(code) != 3 || !isNumber(code) || !isText(reason) {
		return statusLine{}, invalidStatusLine(line)
	}
	s := statusLine{minor: int(minor[0] - '0'), code: int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')}
	// Requests never ask for another protocol.
	if s.code < http.StatusContinue || s.code > maxStatus || s.code == http.StatusSwitchingProtocols {
		return statusLine{}, invalidStatusLine(line)
	}
	return s, nil
}

func invalidStatusLine(line []byte) error { return fmt.Errorf("status line %.100q is invalid", line) }

// framing is what the fields of a head say of the length of the body. net/http checks
// the values of the fields.
type framing struct {
	// hasLength is true if there is a length, emptyBody if it is 0.
	hasLength, emptyBody bool
	// hasEncoding is true if there is a transfer encoding.
	hasEncoding bool
}

// check returns an error unless the framing is allowed in a response with status line s.
// In these cases net/http ignores a field; another recipient may not.
func (f framing) check(s statusLine) error {
	switch {
	case f.hasEncoding && f.hasLength:
		return errors.New("response has both Content-Length and Transfer-Encoding")
	case f.hasEncoding && s.minor == 0:
		return errors.New("response of HTTP/1.0 has a Transfer-Encoding")
	case !s.mayHaveBody() && (f.hasEncoding || f.hasLength && !f.emptyBody):
		return fmt.Errorf("response with status %d announces a body", s.code)
	}
	return nil
}

// parseFields returns the framing and what follows the empty line after the fields. A
// line that begins with a blank is invalid: as the obsolete continuation of the line
// before it, it would hide a field whose name begins with one.
func parseFields(b []byte) (f framing, rest []byte, err error) {
	for {
		line, rest, err := cutLine(b)
		if err != nil || len(line) == 0 {
			return f, rest, err
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isText(value) {
			return f, nil, fmt.Errorf("field %.100q is invalid", line)
		}
		f.add(name, value)
		b = rest
	}
}

// add records a field.
func (f *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength, f.emptyBody = true, string(bytes.TrimSpace(value)) == "0"
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasEncoding = true
	}
}

// isToken reports whether b is a token as in RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

func isNumber(b []byte) bool {
	return !bytes.ContainsFunc(b, func(r rune) bool { return r < '0' || r > '9' })
}

// isText reports whether b has no control bytes but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
