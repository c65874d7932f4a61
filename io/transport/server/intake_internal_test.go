package server

import (
	"testing"

	"github.com/lesismal/nbio/nbhttp"
	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
)

// panickingProcessor panics at one step of a request.
type panickingProcessor struct {
	nbhttp.Processor
	inHead bool
}

func (p panickingProcessor) OnURL(parser *nbhttp.Parser, uri string) error {
	if p.inHead {
		panic("in the head")
	}
	return p.Processor.OnURL(parser, uri)
}

func (p panickingProcessor) OnComplete(*nbhttp.Parser) { panic("at the end") }

// TestPanicRefusesTheRequest guards against a panic of the library that ends the process,
// or leaves a connection that goes on in an unknown state.
func TestPanicRefusesTheRequest(t *testing.T) {
	for name, tt := range map[string]struct {
		inHead bool
		want   result.Code
	}{
		"in the head": {true, result.Malformed},
		"at the end":  {false, result.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			c := &conn{server: &Server{opts: Options{}.withDefaults()}}
			c.intake = newIntake(c, &nbhttp.Parser{Engine: nbhttp.NewEngine(nbhttp.Config{})})
			c.intake.processor.Processor = panickingProcessor{c.intake.processor.Processor, tt.inHead}
			err := c.feed([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			assert.Assert(t, err != nil)
			assert.Equal(t, err.Code(), tt.want)
		})
	}
}
