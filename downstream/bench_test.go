package downstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
)

// BenchmarkRequest measures a request with a small body on a kept connection, served by
// net/http alone and through a Listener.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	limits := ragworthitch.Limits{HeaderBytes: 16 << 10}
	b.Run("plain", func(b *testing.B) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		benchmarkServer(b, ln, &http.Server{Handler: handler, ReadHeaderTimeout: maxTimeout, IdleTimeout: maxTimeout})
	})
	b.Run("guarded", func(b *testing.B) {
		raw, err := Listen("127.0.0.1:0")
		require.NoError(b, err)
		ln := NewGuard(64<<20, zerolog.Nop(), nil).Wrap(raw, ListenerConfig{Name: "bench", MaxConns: 100, Limits: func() ragworthitch.Limits { return limits }})
		benchmarkServer(b, ln, ln.Server(handler))
	})
}

func benchmarkServer(b *testing.B, ln net.Listener, srv *http.Server) {
	go srv.Serve(ln)
	defer srv.Close()
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Post("http://"+ln.Addr().String()+"/x", "application/json", strings.NewReader(`{"prompt":"wear report"}`))
		require.NoError(b, err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
