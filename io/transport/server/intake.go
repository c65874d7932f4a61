package server

import (
	"bytes"
	"net"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
	"papayaspoke/io/transport/memory"
)

const (
	// maxHeadBytes is the default of the largest request head in bytes.
	maxHeadBytes = 64 << 10
	// maxEmptyLineBytes bounds the empty lines before a request.
	maxEmptyLineBytes = 1 << 10
	// maxExtensionBytes bounds the chunk extensions and the trailer section of a
	// request together. Both are discarded.
	maxExtensionBytes = 64 << 10
	// maxChunkDigits bounds the digits of the size of a chunk.
	maxChunkDigits = 15
	// bytesPerRequest, bytesPerHeadByte and bytesPerField are what a request holds besides
	// its body until it has been handled: bytes of its own, for each byte of its head, which
	// may become lists of short strings, and for each field.
	bytesPerRequest  = 4 << 10
	bytesPerHeadByte = 8
	bytesPerField    = 256
	// minBodyBuffer is the initial size of the buffer for a body that has not arrived
	// with its head.
	minBodyBuffer = 4 << 10
)

// phase is the part of a request that arrives next.
type phase int

const (
	head phase = iota
	body
	chunkSize
	chunkExtension
	chunkData
	chunkEnd
	trailer
)

// intake reads the requests of one connection. The library parses heads; bodies and
// chunks are read here, since the library would keep each element of a request
// completely, whatever its size. The intake is used by one goroutine at a time.
type intake struct {
	conn      *conn
	processor *processor
	// parser parses the head of the current request. It gets no other bytes.
	parser *nbhttp.Parser

	phase phase
	// limits are those of the current request, once its head has begun.
	limits Limits
	// emptyLineBytes counts the bytes before the current request.
	emptyLineBytes int
	// head holds the incomplete head.
	head []byte
	body []byte
	// missing is how many bytes of the body or chunk have not arrived.
	missing int
	// digits counts the digits of the size of a chunk.
	digits int
	// extensionBytes counts what the request has used of maxExtensionBytes.
	extensionBytes int
	// lineBytes counts the bytes of the current line of the trailer section.
	lineBytes int
	// sawCR is true if the last byte was the CR that ends a line.
	sawCR bool
	// hold is what the current request holds; nil if nothing of it was kept.
	hold *memory.Hold
	// headCost is what the current request holds besides its body.
	headCost int
	// completed counts the requests that arrived completely.
	completed int
}

func newIntake(c *conn, session *nbhttp.Parser) *intake {
	in := &intake{conn: c}
	in.processor = &processor{Processor: nbhttp.NewServerProcessor(), conn: c}
	in.reset(countingConn{Conn: session.Conn, conn: c}, session.Engine)
	return in
}

// reset prepares the intake for the next request.
func (in *intake) reset(c net.Conn, e *nbhttp.Engine) {
	*in = intake{conn: in.conn, processor: in.processor, completed: in.completed}
	in.parser = nbhttp.NewParser(c, e, in.processor, false, in.enqueue)
}

// enqueue queues the request that has arrived. What it holds is given up no more.
func (in *intake) enqueue(run func()) bool {
	if in.hold.Keep() != nil {
		in.conn.refuse(outOfMemory(time.Now()))
		return false
	}
	hold := in.hold
	in.hold = nil
	if !in.conn.enqueue(job{run: run, body: in.body, hold: hold}) {
		hold.Release()
		return false
	}
	return true
}

// keep states how many bytes of the current request are kept in memory.
func (in *intake) keep(size int) *result.Error {
	if in.hold == nil {
		c := in.conn
		in.hold = c.server.opts.Memory.Hold(func() { c.giveUp(outOfMemory(time.Now())) })
	}
	if in.hold.Resize(size) != nil {
		return outOfMemory(time.Now())
	}
	return nil
}

// incomplete reports whether a part of a request has arrived.
func (in *intake) incomplete() bool {
	return in.phase != head || len(in.head) > 0 || in.emptyLineBytes > 0
}

// feed reads the data that has arrived. It returns the error to refuse the request
// with, and must not be called again then.
func (in *intake) feed(data []byte) *result.Error {
	for len(data) > 0 {
		n, err := in.step(data)
		if err != nil {
			return err
		}
		data = data[n:]
		if in.conn.discardsInput() {
			return nil
		}
	}
	return nil
}

// step reads a part of data and returns its length.
func (in *intake) step(data []byte) (int, *result.Error) {
	switch in.phase {
	case body:
		return in.readBody(data)
	case chunkSize, chunkExtension:
		return in.readChunkSize(data)
	case chunkData:
		return in.readChunkData(data)
	case chunkEnd:
		return in.readChunkEnd(data[0])
	case trailer:
		return in.readTrailer(data)
	default:
		return in.readHead(data)
	}
}

var (
	endOfHead = []byte("\r\n\r\n")
	endOfLine = []byte("\r\n")
)

// checkRoom refuses a request that cannot have room for a number of bytes, now or at all.
func (in *intake) checkRoom(size int) *result.Error {
	m := in.conn.server.opts.Memory
	switch {
	case size > m.Largest():
		return result.New(result.TooLarge, "the request takes %d bytes of memory, at most %d are allowed", size, m.Largest())
	case !m.Fits(size):
		return outOfMemory(time.Now())
	}
	return nil
}

// keepDecoded states what a body that has arrived holds while it is handled.
func (in *intake) keepDecoded() *result.Error {
	decoded := in.conn.server.opts.DecodedSize
	if decoded == nil || len(in.body) == 0 {
		return nil
	}
	size := in.headCost + cap(in.body) + decoded(in.body)
	if err := in.checkRoom(size); err != nil {
		return err
	}
	return in.keep(size)
}

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

// finish ends a request. The library queues it.
func (in *intake) finish() *result.Error {
	if err := in.keepDecoded(); err != nil {
		return err
	}
	in.processor.Processor.OnComplete(in.parser)
	in.completed++
	in.reset(in.parser.Conn, in.parser.Engine)
	return nil
}

// readBody reads a body of a known length.
func (in *intake) readBody(data []byte) (int, *result.Error) {
	n := min(len(data), in.missing)
	if err := in.grow(n, len(in.body)+in.missing); err != nil {
		return 0, err
	}
	in.body = append(in.body, data[:n]...)
	in.missing -= n
	if in.missing == 0 {
		return n, in.finish()
	}
	return n, nil
}

// grow makes room for n more bytes of a body that will have at most most bytes.
func (in *intake) grow(n, most int) *result.Error {
	if len(in.body)+n <= cap(in.body) {
		return nil
	}
	size := max(len(in.body)+n, min(most, max(minBodyBuffer, 2*cap(in.body))))
	if err := in.keep(in.headCost + cap(in.body) + size); err != nil {
		return err
	}
	in.body = append(make([]byte, 0, size), in.body...)
	return in.keep(in.headCost + size)
}

// readChunkSize reads the line before a chunk.
func (in *intake) readChunkSize(data []byte) (int, *result.Error) {
	for i, c := range data {
		if in.sawCR {
			return i + 1, in.endChunkSize(c)
		}
		digit, isDigit := hexValue(c)
		switch {
		case c == '\r' && in.digits > 0:
			in.sawCR = true
		case in.phase == chunkExtension && c != '\n':
			if err := in.countExtension(); err != nil {
				return 0, err
			}
		case isDigit && in.phase == chunkSize && in.digits < maxChunkDigits:
			in.missing = in.missing<<4 | digit
			in.digits++
		case (c == ';' || c == ' ' || c == '\t') && in.digits > 0:
			in.phase = chunkExtension
		default:
			return 0, result.New(result.Malformed, "invalid size of a chunk")
		}
	}
	return len(data), nil
}

func hexValue(c byte) (int, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	}
	return 0, false
}

func (in *intake) countExtension() *result.Error {
	in.extensionBytes++
	if in.extensionBytes > maxExtensionBytes {
		return result.New(result.HeadTooLarge, "chunk extensions and trailers are larger than %d bytes", maxExtensionBytes)
	}
	return nil
}

// endChunkSize ends the line before a chunk.
func (in *intake) endChunkSize(c byte) *result.Error {
	in.sawCR, in.digits = false, 0
	if c != '\n' {
		return result.New(result.Malformed, "invalid end of a line")
	}
	if in.missing == 0 {
		in.phase = trailer
		return nil
	}
	if in.missing > in.limits.BodyBytes-len(in.body) {
		return in.tooLarge()
	}
	in.phase = chunkData
	return nil
}

func (in *intake) tooLarge() *result.Error {
	return result.New(result.TooLarge, "body is larger than %d bytes", in.limits.BodyBytes)
}

func (in *intake) readChunkData(data []byte) (int, *result.Error) {
	n := min(len(data), in.missing)
	if err := in.grow(n, in.limits.BodyBytes); err != nil {
		return 0, err
	}
	in.body = append(in.body, data[:n]...)
	in.missing -= n
	if in.missing == 0 {
		in.phase = chunkEnd
	}
	return n, nil
}

// readChunkEnd reads a byte of the end of line after a chunk.
func (in *intake) readChunkEnd(c byte) (int, *result.Error) {
	switch {
	case c == '\r' && !in.sawCR:
		in.sawCR = true
	case c == '\n' && in.sawCR:
		in.sawCR, in.phase = false, chunkSize
	default:
		return 0, result.New(result.Malformed, "a chunk is longer than its size")
	}
	return 1, nil
}

// readTrailer discards the trailer section. The empty line at its end ends the
// request.
func (in *intake) readTrailer(data []byte) (int, *result.Error) {
	for i, c := range data {
		switch {
		case in.sawCR && c != '\n', c == '\n' && !in.sawCR:
			return 0, result.New(result.Malformed, "invalid end of a line")
		case c == '\r':
			in.sawCR = true
		case c == '\n' && in.lineBytes == 0:
			return i + 1, in.finish()
		case c == '\n':
			in.sawCR, in.lineBytes = false, 0
		default:
			in.lineBytes++
		}
		if err := in.countExtension(); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}
