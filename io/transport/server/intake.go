package server

import (
	"net"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
	"papayaspoke/io/transport/memory"
)

// minBodyBuffer is the initial size of the buffer for a body that has not arrived with
// its head.
const minBodyBuffer = 4 << 10

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
