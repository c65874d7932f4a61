package server

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
)

// processor refuses requests that are too large or give two lengths as soon
// as their head or the offending part of the body has been parsed.
type processor struct {
	nbhttp.Processor
	conn *conn
	// headers counts the bytes of the request's headers.
	headers int
	// lengths counts the request's Content-Length headers.
	lengths int
	// chunked is true if the request has a Transfer-Encoding.
	chunked bool
	// expects is true if the other end waits to be told to send the body.
	expects bool
	// body counts the bytes of the request's body so far.
	body int
}

// OnMethod starts a new request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	*p = processor{Processor: p.Processor, conn: p.conn}
	p.Processor.OnMethod(parser, method)
}

// OnHeader notes the length headers.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.headers += len(key) + len(value)
	switch key {
	case "Content-Length":
		p.lengths++
	case "Transfer-Encoding":
		p.chunked = true
	case "Expect":
		p.expects = strings.EqualFold(value, "100-continue")
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the head; length is negative if no
// Content-Length applies.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	switch {
	case p.lengths > 0 && p.chunked:
		p.refuse(parser, result.New(result.LengthConflict, "both length headers were sent"))
	case p.lengths > 1:
		p.refuse(parser, result.New(result.LengthConflict, "Content-Length was sent %d times", p.lengths))
	case length > p.conn.server.opts.MaxBody:
		p.refuse(parser, p.tooLarge())
	case p.headers > maxHead:
		p.refuse(parser, result.New(result.TooLarge, "headers are larger than %d bytes", maxHead))
	case p.expects && !p.conn.working():
		_, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnBody bounds a chunked body.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.body += len(data)
	if p.body > p.conn.server.opts.MaxBody {
		err := p.tooLarge()
		p.refuse(parser, err)
		return nil
	}
	return p.Processor.OnBody(parser, data)
}

func (p *processor) tooLarge() *result.Error {
	return result.New(result.TooLarge, "body is larger than %d bytes", p.conn.server.opts.MaxBody)
}

// refuse answers with err and makes the parser hand over all further input,
// which is thrown away.
func (p *processor) refuse(parser *nbhttp.Parser, err *result.Error) {
	p.conn.refuse(err)
	parser.ParserCloser = discarder{parser: parser}
}

// OnComplete passes a whole request on to the handler.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.conn.discards() {
		return
	}
	p.Processor.OnComplete(parser)
}

// serve runs the handler for one whole request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := res.Parser.Conn.(counted)
	if !ok {
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.conn.serve(res, r)
}
