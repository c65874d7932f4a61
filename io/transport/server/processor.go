package server

import (
	"net/http"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
)

// processor checks the heads of requests.
type processor struct {
	nbhttp.Processor
	conn *conn
	// hosts and contentLengths count the request's Host and Content-Length headers.
	hosts, contentLengths int
	// length is the stated length of the body; it is not positive if there is none.
	length int
	// invalidLength is true if a Content-Length is not a number of digits.
	invalidLength bool
	// chunked is true if the request has a Transfer-Encoding.
	chunked bool
	// expectsContinue is true if the peer waits for status 100 before it sends
	// the body.
	expectsContinue bool
	// headRead is true once the head has been parsed.
	headRead bool
	// refusal is why the request is refused; nil if it is not.
	refusal *result.Error
}

// OnMethod resets the state for a new request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	*p = processor{Processor: p.Processor, conn: p.conn}
	p.Processor.OnMethod(parser, method)
}

// OnHeader records the headers that [processor.OnContentLength] judges.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	switch key {
	case "Host":
		p.hosts++
	case "Content-Length":
		p.contentLengths++
		p.invalidLength = p.invalidLength || !isNumber(strings.TrimSpace(value))
	case "Transfer-Encoding":
		p.chunked = true
	case "Expect":
		p.expectsContinue = strings.EqualFold(value, "100-continue")
	}
	p.Processor.OnHeader(parser, key, value)
}

func isNumber(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// OnContentLength validates the head after it has been parsed. The length is
// negative if no Content-Length applies.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.headRead, p.length = true, length
	p.refusal = p.check(length)
	if p.refusal == nil && p.expectsContinue && !p.conn.hasPendingWork() {
		_, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// check returns why a request with this head is refused, nil if it is not.
func (p *processor) check(length int) *result.Error {
	in := p.conn.intake
	switch {
	case p.contentLengths > 0 && p.chunked:
		return result.New(result.LengthConflict, "both Content-Length and Transfer-Encoding were sent")
	case p.contentLengths > 1:
		return result.New(result.LengthConflict, "Content-Length was sent %d times", p.contentLengths)
	case p.hosts > 1:
		return result.New(result.Malformed, "Host was sent %d times", p.hosts)
	case p.invalidLength:
		return result.New(result.Malformed, "Content-Length is not a number")
	case length > in.limits.BodyBytes:
		return in.tooLarge()
	case length > 0:
		return in.checkRoom(in.headCost + length)
	}
	return nil
}

// OnComplete does nothing: the intake completes requests, also those without a body,
// outside the parser, which hides panics.
func (*processor) OnComplete(*nbhttp.Parser) {}

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
