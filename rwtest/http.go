package rwtest

import (
	"net/http"

	"github.com/ragworthitch/ragworthitch/wire"
)

func agentHandler(a *FakeAgent) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept(w, r)
		if err != nil {
			return
		}
		defer c.CloseNow()
		a.serve(c)
	})
}
