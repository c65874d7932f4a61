package server

import (
	"bytes"

	"papayaspoke/core/result"
)

const (
	// maxHeadBytes is the default of the largest request head in bytes.
	maxHeadBytes = 64 << 10
	// maxEmptyLineBytes bounds the empty lines before a request.
	maxEmptyLineBytes = 1 << 10
	// bytesPerRequest, bytesPerHeadByte and bytesPerField are what a request holds besides
	// its body until it has been handled: bytes of its own, for each byte of its head, which
	// may become lists of short strings, and for each field.
	bytesPerRequest  = 4 << 10
	bytesPerHeadByte = 8
	bytesPerField    = 256
)

var (
	endOfHead = []byte("\r\n\r\n")
	endOfLine = []byte("\r\n")
)

// readHead reads a head, and the empty lines that may precede it.
func (in *intake) readHead(data []byte) (int, *result.Error) {
	before := len(in.head)
	if before == 0 {
		if data[0] == '\r' || data[0] == '\n' {
			return 1, in.countEmptyLine()
		}
		in.limits = in.conn.server.limits()
		if n := endAfter(data, 0); n > 0 {
			return n, in.parseHead(data[:n])
		}
	}
	in.head = append(in.head, data[:min(len(data), in.limits.HeadBytes+1-before)]...)
	n := endAfter(in.head, max(0, before-len(endOfHead)+1))
	if n == 0 && len(in.head) > in.limits.HeadBytes {
		return 0, in.headTooLarge()
	}
	if err := in.keep(cap(in.head)); err != nil {
		return 0, err
	}
	if n == 0 {
		return len(data), nil
	}
	return n - before, in.parseHead(in.head[:n])
}

func (in *intake) countEmptyLine() *result.Error {
	in.emptyLineBytes++
	if in.emptyLineBytes > maxEmptyLineBytes {
		return result.New(result.Malformed, "more than %d bytes of empty lines precede the request", maxEmptyLineBytes)
	}
	return nil
}

func (in *intake) headTooLarge() *result.Error {
	return result.New(result.HeadTooLarge, "head is larger than %d bytes", in.limits.HeadBytes)
}

// endAfter returns the length of b up to the end of the head, which it searches from a
// position on; 0 if there is none.
func endAfter(b []byte, from int) int {
	i := bytes.Index(b[from:], endOfHead)
	if i < 0 {
		return 0
	}
	return from + i + len(endOfHead)
}

// parseHead parses a complete head.
func (in *intake) parseHead(b []byte) *result.Error {
	if len(b) > in.limits.HeadBytes {
		return in.headTooLarge()
	}
	fields, err := checkLines(b)
	if err != nil {
		return err
	}
	in.headCost = bytesPerRequest + bytesPerHeadByte*len(b) + fields*bytesPerField
	if err := in.keep(in.headCost); err != nil {
		return err
	}
	return in.parseChecked(b)
}

// parseChecked parses a complete head whose lines are valid.
func (in *intake) parseChecked(b []byte) *result.Error {
	p := in.processor
	err := in.parser.Parse(b)
	switch {
	case err != nil:
		return result.New(result.Malformed, "%w", err)
	case p.refusal != nil:
		return p.refusal
	case !p.headRead:
		// The library also returns no error after a panic in its parser.
		return result.New(result.Malformed, "the head ends within a line")
	}
	in.head = nil
	switch {
	case p.chunked:
		in.phase = chunkSize
	case p.length > 0:
		in.phase, in.missing = body, p.length
	default:
		return in.finish()
	}
	return nil
}

// checkLines refuses heads that the library accepts although other readers understand
// them otherwise, which lets a request hide in another one: further spaces in the
// request line, names with a space before the colon, continued lines, and control
// characters such as a line end without a CR.
//
// checkLines returns the number of fields.
func checkLines(b []byte) (int, *result.Error) {
	fields := -1
	for first := true; len(b) > len(endOfLine); first = false {
		line, rest, _ := bytes.Cut(b, endOfLine)
		b = rest
		colon := bytes.IndexByte(line, ':')
		switch {
		case hasControl(line):
			return 0, result.New(result.Malformed, "a line of the head holds a control character")
		case first && bytes.Count(line, []byte(" ")) != 2:
			return 0, result.New(result.Malformed, "the request line is not a method, a target and a version")
		case !first && (colon <= 0 || bytes.IndexByte(line[:colon], ' ') >= 0):
			return 0, result.New(result.Malformed, "a line of the head has no valid name")
		}
		fields++
	}
	return fields, nil
}

// hasControl reports whether b holds a control character other than a tab.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
