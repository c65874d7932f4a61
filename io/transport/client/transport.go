package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is an [http.Transport] that returns an error in place of a response that
// is not valid HTTP/1.1. net/http passes many of them on, some with another meaning.
type transport struct{ *http.Transport }

// RoundTrip sends a request and returns the response.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.roundTrip(req, func(httptrace.GotConnInfo) {})
}

// roundTrip is RoundTrip; gotConn is called with the connection before the request is
// written.
func (t transport) roundTrip(req *http.Request, gotConn func(httptrace.GotConnInfo)) (*http.Response, error) {
	var record atomic.Pointer[headRecord]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			record.Store(c.recordHead(info.Reused))
		}
		gotConn(info)
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(record.Load().take()); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// chunkedBody is a chunked body that ends with an error if the name of a trailer field is
// invalid.
type chunkedBody struct {
	io.ReadCloser
	// resp has the trailer fields once the body has been read.
	resp *http.Response
}

// Read reads from the body.
func (b chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !isToken([]byte(name)) {
			return n, fmt.Errorf("trailer field %.100q is invalid", name)
		}
	}
	return n, io.EOF
}
