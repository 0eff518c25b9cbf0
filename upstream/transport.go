package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper for clients that use no Pool. Its answers and their ends are
// checked as those of a Pool. Create it with NewTransport.
type Transport struct{ http *http.Transport }

// NewTransport returns a Transport that uses t, whose DialContext it replaces by one that calls
// it.
func NewTransport(t *http.Transport) *Transport {
	connect := t.DialContext
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
	return &Transport{http: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[trackedConn] // set anew if net/http sends the request once more
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*trackedConn)
			c.request.begin()
			conn.Store(c)
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return conn.Load().request.receivedInformational(h) },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { conn.Load().request.wrote(info.Err) },
	}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := conn.Load().request.received(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols { // its body is the connection
		resp.Body = &checkedBody{resp.Body, resp}
	}
	return resp, nil
}

// CloseIdleConnections closes idle connections.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
