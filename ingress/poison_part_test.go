package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// callWithParts returns a call that is like no other but for parts of its prompt.
func callWithParts(body string, parts ...string) *Call {
	c := newCall(body)
	c.SharedParts = parts
	return c
}

// crashUnder records that targets of a version crashed under different requests with the
// same parts.
func crashUnder(h *Handler, version string, crashes int, parts ...string) {
	for i := range crashes {
		call := fmt.Sprint(version, "-crash-", i)
		r := poison.Request{Fingerprint: poison.Of("", "POST", "h", call, nil), Parts: poison.Parts(parts), Service: "llm"}
		h.poisonTracker.RecordOwnCrash(r, poison.Crash{Boot: ragworthitch.NewBoot(call, 0), Call: call, Version: version}, clock.Now())
	}
}

// TestQuarantinedPart guards against calls that are sent although a part of their prompts
// crashes targets, and against sound calls that are rejected with them.
func TestQuarantinedPart(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		addTargets(h, "v1")
		crashUnder(h, "v1", 3, "bad")
		w, _ := serve(h, callWithParts("x", "good", "bad"))
		assert.Equal(t, http.StatusInternalServerError, w.Code)
		assert.Contains(t, w.Body.String(), "part bad")
		after, err := strconv.Atoi(w.Header().Get("Retry-After"))
		require.NoError(t, err)
		assert.Greater(t, after, 60, "no probe is due soon")
		assert.Zero(t, s.attemptsOf("x"))
		w, _ = serve(h, callWithParts("y", "good"))
		assert.Equal(t, http.StatusOK, w.Code)
	})
}

// TestUnresolvedPart guards against sound calls that stay rejected because their part was in
// the prompts that crashed targets, beside the part that did: one of them runs as a probe.
func TestUnresolvedPart(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		addTargets(h, "v1")
		crashUnder(h, "v1", 3, "sound", "bad")
		var served, retried atomic.Int32
		var calls sync.WaitGroup
		for i := range 5 {
			calls.Go(func() {
				w, _ := serve(h, callWithParts(fmt.Sprint("x", i), "sound"))
				switch {
				case w.Code == http.StatusOK:
					served.Add(1)
				case w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "":
					retried.Add(1)
				}
			})
		}
		calls.Wait()
		assert.EqualValues(t, 1, served.Load())
		assert.EqualValues(t, 4, retried.Load())
		w, _ := serve(h, callWithParts("later", "sound"))
		assert.Equal(t, http.StatusOK, w.Code)
		w, _ = serve(h, callWithParts("bad", "sound", "bad"))
		assert.Equal(t, http.StatusInternalServerError, w.Code)
	})
}

// TestPartSoundAtOtherVersion guards against calls that are rejected though their part
// crashes targets of another version only.
func TestPartSoundAtOtherVersion(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		addTargets(h, "v1")
		addTargets(h, fixedVersion)
		bad := poison.Request{Parts: poison.Parts([]string{"bad"}), Service: "llm"}
		h.poisonTracker.RecordSoundRun(bad, fixedVersion, poison.PastStart, clock.Now())
		crashUnder(h, "v1", 3, "bad")
		for range 8 {
			w, _ := serve(h, callWithParts(poisonBody, "bad"))
			assert.Equal(t, http.StatusOK, w.Code)
		}
		assert.Empty(t, s.crashed)
	})
}

// quarantiningSender sends attempts over connections that are ready only after a part has been
// quarantined.
type quarantiningSender struct {
	poisonSender
	h       *Handler
	written atomic.Int32
}

func (s *quarantiningSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	crashUnder(s.h, "v1", 3, "bad")
	if err := r.MayWrite(); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	s.written.Add(1)
	return s.poisonSender.Send(ctx, r)
}

// TestQuarantinedBeforeWrite guards against calls that were accepted before their request, or a
// part of it, was quarantined, and reach a target after it.
func TestQuarantinedBeforeWrite(t *testing.T) {
	for _, kind := range []ragworthitch.CallKind{ragworthitch.CallStream, ragworthitch.CallSafe, ragworthitch.CallUnsafe} {
		t.Run(kind.String(), func(t *testing.T) {
			bubble(t, "", func(t *testing.T) {
				s := &quarantiningSender{}
				s.h = newTestHandler(t, s, kind)
				addTargets(s.h, "v1")
				w, _ := serve(s.h, callWithParts("x", "good", "bad"))
				assert.Equal(t, http.StatusInternalServerError, w.Code)
				assert.Zero(t, s.written.Load())
				w, _ = serve(s.h, callWithParts("y", "good"))
				assert.Equal(t, http.StatusOK, w.Code)
			})
		})
	}
}
