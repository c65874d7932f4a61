package client

import (
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
	return resp, nil
}
