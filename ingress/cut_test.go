package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	cutTimeout = time.Second
	// cutEventSize is over half of what an attempt reads ahead of its caller.
	cutEventSize = maxQueuedBytes * 3 / 4
	cutEvents    = 6
	// cutTries is how often a call has to end: it takes what select picks from.
	cutTries = 200
)

type (
	// wholeSender answers each stream at once and whole, and takes long to close its body.
	wholeSender struct{}

	// lateBody is a body whose Close takes cutTimeout, as in a goroutine that gets its turn late.
	lateBody struct{ io.Reader }

	// lateReader is a caller that accepts nothing until a time, and everything from then on.
	lateReader struct {
		*httptest.ResponseRecorder
		readsFrom clock.Time
	}
)

func (wholeSender) Send(context.Context, *AttemptRequest) (*Reply, error) {
	var b bytes.Buffer
	for id := range cutEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id+1, bytes.Repeat([]byte{'x'}, cutEventSize))
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: lateBody{&b}}, nil
}

func (lateBody) Close() error {
	time.Sleep(cutTimeout)
	return nil
}

// CheckConnection succeeds.
func (wholeSender) CheckConnection(context.Context, *registry.Member) error { return nil }

func (w lateReader) Write(b []byte) (int, error) {
	time.Sleep(w.readsFrom.Sub(clock.Now()))
	return w.ResponseRecorder.Write(b)
}

// TestStreamCutAtDeadline guards against a stream that looks complete although its deadline
// has passed while a part of it waited for a caller that reads slowly: the attempt's sender
// takes the end of its call for the end of the answer.
func TestStreamCutAtDeadline(t *testing.T) {
	looksComplete := 0
	for range cutTries {
		synctest.Test(t, func(t *testing.T) {
			h := newTestHandler(t, wholeSender{}, ragworthitch.CallStream)
			call := newCall("cut")
			call.Timeout = cutTimeout
			w := lateReader{httptest.NewRecorder(), clock.Now().Add(cutTimeout + minWriteTimeout/2)}
			complete := h.ServeComplete(context.Background(), w, call)
			if complete && w.Body.Len() < cutEvents*cutEventSize {
				looksComplete++
			}
			time.Sleep(cleanupTime)
		})
	}
	assert.Zero(t, looksComplete, "of %d truncated streams look complete", cutTries)
}
