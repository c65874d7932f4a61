package client

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
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
		status, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		if b, err = checkFields(rest); err != nil {
			return err
		}
		if status >= minStatus {
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

// parseStatusLine returns the status of a status line. The space before a missing
// reason may be missing too.
func parseStatusLine(line []byte) (int, error) {
	invalid := fmt.Errorf("status line %.100q is invalid", line)
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isNumber(minor) || len(code) != 3 || !isNumber(code) || !isText(reason) {
		return 0, invalid
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	// Requests never ask for another protocol.
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, invalid
	}
	return status, nil
}

// checkFields returns what follows the empty line after the fields. A line that begins
// with a blank is invalid: as the obsolete continuation of the line before it, it would
// hide a field whose name begins with one.
func checkFields(b []byte) ([]byte, error) {
	for {
		line, rest, err := cutLine(b)
		if err != nil || len(line) == 0 {
			return rest, err
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isText(value) {
			return nil, fmt.Errorf("field %.100q is invalid", line)
		}
		b = rest
	}
}

// isToken reports whether b is a token as in RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
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
