package server

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
)

// processor refuses requests that are too large or state more than one length, as
// soon as the head or the offending part of the body has been parsed.
type processor struct {
	nbhttp.Processor
	conn *conn
	// headerBytes counts the bytes of the request's headers.
	headerBytes int
	// contentLengths counts the request's Content-Length headers.
	contentLengths int
	// chunked is true if the request has a Transfer-Encoding.
	chunked bool
	// expectsContinue is true if the peer waits for status 100 before it sends
	// the body.
	expectsContinue bool
	// bodyBytes counts the bytes of the request's body received so far.
	bodyBytes int
}

// OnMethod resets the state for a new request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	*p = processor{Processor: p.Processor, conn: p.conn}
	p.Processor.OnMethod(parser, method)
}

// OnHeader counts headers that state a length and records an Expect header.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headerBytes += len(key) + len(value)
	switch key {
	case "Content-Length":
		p.contentLengths++
	case "Transfer-Encoding":
		p.chunked = true
	case "Expect":
		p.expectsContinue = strings.EqualFold(value, "100-continue")
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength validates the head after it has been parsed. The length is
// negative if no Content-Length applies.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	switch {
	case p.contentLengths > 0 && p.chunked:
		p.refuse(parser, result.New(result.LengthConflict, "both Content-Length and Transfer-Encoding were sent"))
	case p.contentLengths > 1:
		p.refuse(parser, result.New(result.LengthConflict, "Content-Length was sent %d times", p.contentLengths))
	case length > p.conn.server.opts.MaxBody:
		p.refuse(parser, p.tooLarge())
	case p.headerBytes > maxHeadBytes:
		p.refuse(parser, result.New(result.TooLarge, "headers are larger than %d bytes", maxHeadBytes))
	case p.expectsContinue && !p.conn.hasPendingWork():
		_, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnBody limits the size of a body, which has no stated length if it is chunked.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.bodyBytes += len(data)
	if p.bodyBytes > p.conn.server.opts.MaxBody {
		err := p.tooLarge()
		p.refuse(parser, err)
		return nil
	}
	return p.Processor.OnBody(parser, data)
}

func (p *processor) tooLarge() *result.Error {
	return result.New(result.TooLarge, "body is larger than %d bytes", p.conn.server.opts.MaxBody)
}

// refuse answers with err and replaces the parser by one that discards all further
// input.
func (p *processor) refuse(parser *nbhttp.Parser, err *result.Error) {
	p.conn.refuse(err)
	parser.ParserCloser = discarder{parser: parser}
}

// OnComplete passes a complete request to the handler.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.conn.discardsInput() {
		return
	}
	p.Processor.OnComplete(parser)
}

// serve runs the handler for one complete request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := res.Parser.Conn.(countingConn)
	if !ok {
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.conn.serve(res, r)
}
