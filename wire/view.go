package wire

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/poison"
)

// ViewPath is where an entry instance receives the views of its peers. The version
// in the path rises when the frames change incompatibly.
const ViewPath = "/v2/view"

// maxViewFrame bounds a frame in bytes; a thousand targets fit.
const maxViewFrame = 128 << 10

// maxRateLimitAge bounds RateLimit.Age, and maxReportAge the ages of crashes and sound runs.
const (
	maxRateLimitAge = 24 * time.Hour
	maxReportAge    = time.Hour
)

type (
	// View reports the load of an entry instance at the targets, as changes since
	// its last view on the same connection. Views are not answered.
	View struct {
		Node           string // name of the instance
		Loads          []TargetLoad
		CacheLocations []CacheLocation
		Crashes        []poison.Crash
		SoundRuns      []poison.SoundRun
		RateLimits     []RateLimit
		// Usage is the whole usage of organisations at the instance; empty: as last sent. An
		// instance that no longer has any reports organisations with 0 tokens.
		Usage    []fairshare.Usage
		Refusals []Refusal
		Draining []Draining
	}

	// RateLimit is what an instance knows of a target's rate limit.
	RateLimit struct {
		Target  ragworthitch.Boot
		InForce bool
		Rate    float64       // requests a second from all instances together
		Age     time.Duration // of the target's answer that shows it
	}

	// CacheLocation is a cache location: the engine that holds a prompt's KV cache.
	CacheLocation struct {
		Subject string // identifies the prompt: its last part
		Engine  ragworthitch.Boot
	}

	// TargetLoad is the load of an instance at a target. All numbers are zero when
	// the instance has no more calls there.
	TargetLoad struct {
		Target          ragworthitch.Boot
		Prefill         int // prompt tokens whose prefill has not ended, except YieldingPrefill
		YieldingPrefill int // the same, of calls whose prefill yields to other calls
		Running         int // calls in progress
		Tokens          int // KV cache of the instance's calls and replicas, in tokens
		Bodies          int // size of the bodies of the instance's calls, in bytes
		// EventInterval is the event interval of streams at the target, as the instance
		// sees it; 0: no recent events.
		EventInterval time.Duration
	}

	// viewFrame is the CBOR form of a View. The one-letter fields of the frames are
	// mapped by the encode and decode functions.
	viewFrame struct {
		N string               `cbor:"1,keyasint"`
		L []loadFrame          `cbor:"2,keyasint,omitempty"`
		P []cacheLocationFrame `cbor:"3,keyasint,omitempty"`
		D []crashFrame         `cbor:"4,keyasint,omitempty"`
		B []bodiesFrame        `cbor:"5,keyasint,omitempty"`
		R []rateLimitFrame     `cbor:"6,keyasint,omitempty"`
		Q []partCrashFrame     `cbor:"7,keyasint,omitempty"`
		S []soundRunFrame      `cbor:"8,keyasint,omitempty"`
		C []clearedBootsFrame  `cbor:"9,keyasint,omitempty"`
		U []usageFrame         `cbor:"10,keyasint,omitempty"`
		X []refusalFrame       `cbor:"11,keyasint,omitempty"`
		G []drainingFrame      `cbor:"12,keyasint,omitempty"`
		W []weakCrashFrame     `cbor:"13,keyasint,omitempty"`
		E []int                `cbor:"14,keyasint,omitempty"` // indices of the runs of S that came to their end
		H []progressFrame      `cbor:"15,keyasint,omitempty"`
		V []evidenceFrame      `cbor:"16,keyasint,omitempty"`
	}

	rateLimitFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		B int64
		I bool
		R float64
		A int64 // milliseconds
	}

	// bodiesFrame holds TargetLoad.Bodies of the load with an index. It is apart from
	// loadFrame so that instances without the field can read the view.
	bodiesFrame struct {
		_ struct{} `cbor:",toarray"`
		I int
		N int
	}

	crashFrame struct {
		_ struct{} `cbor:",toarray"`
		F []byte
		T string
		B int64
		C string
		O string
		S string
		V string
		W int
		A bool
	}

	// partCrashFrame is apart from crashFrame so that instances without it can read the
	// view.
	partCrashFrame struct {
		_ struct{} `cbor:",toarray"`
		C crashFrame
		P string
		S bool
		G int64 // milliseconds
	}

	// weakCrashFrame is a crash with weak evidence. It is apart from crashFrame, so that
	// instances without it do not take the evidence for strong.
	weakCrashFrame struct {
		_ struct{} `cbor:",toarray"`
		C crashFrame
		P string // part; empty: the whole request
		S bool
		G int64 // milliseconds
		H uint8 // phase
		R int64 // milliseconds
	}

	// evidenceFrame holds Weight and Verdict of the crash with an index among all crashes. It is
	// apart from the others so that instances without it can read the view.
	evidenceFrame struct {
		_ struct{} `cbor:",toarray"`
		I int
		W float64
		V bool
	}

	// progressFrame is the progress of the call of the crash of W with an index, in all attempts
	// and in one, and the furthest of any call with the request.
	progressFrame struct {
		_ struct{} `cbor:",toarray"`
		I int
		T int
		A int
		M int
		B int
	}

	soundRunFrame struct {
		_ struct{} `cbor:",toarray"`
		F []byte
		S string
		V string
		G int64 // milliseconds
	}

	// clearedBootsFrame holds SoundRun.Boots of the run with an index. It is apart from
	// soundRunFrame so that instances without it can read the view.
	clearedBootsFrame struct {
		_ struct{} `cbor:",toarray"`
		I int
		T []bootFrame
	}

	bootFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		B int64
	}

	cacheLocationFrame struct {
		_ struct{} `cbor:",toarray"`
		S string
		T string
		B int64
	}

	loadFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		B int64
		P int
		L int
		R int
		K int
		G int64 // microseconds
	}
)

// HasNews reports whether the view says anything but that the instance is there.
func (v View) HasNews() bool {
	return len(v.Loads) > 0 || len(v.CacheLocations) > 0 || len(v.Crashes) > 0 || len(v.SoundRuns) > 0 || len(v.RateLimits) > 0 ||
		len(v.Usage) > 0 || len(v.Refusals) > 0 || len(v.Draining) > 0
}

// EncodeView maps a view to its CBOR frame.
func EncodeView(v View) ([]byte, error) {
	f := viewFrame{N: v.Node}
	for i, l := range v.Loads {
		if l.Bodies > 0 {
			f.B = append(f.B, bodiesFrame{I: i, N: l.Bodies})
		}
		f.L = append(f.L, loadFrame{T: l.Target.ID(), B: l.Target.Started(), P: l.Prefill, L: l.YieldingPrefill, R: l.Running, K: l.Tokens, G: l.EventInterval.Microseconds()})
	}
	f.P, f.R = encodeCacheLocations(v.CacheLocations), encodeRateLimits(v.RateLimits)
	f.D, f.Q, f.W, f.H = encodeCrashes(v.Crashes)
	f.V = encodeEvidence(v.Crashes)
	f.S, f.C, f.E = encodeSoundRuns(v.SoundRuns)
	f.U = encodeUsage(v.Usage)
	f.X = encodeRefusals(v.Refusals)
	f.G = encodeDraining(v.Draining)
	return cbor.Marshal(f)
}

func encodeRateLimits(limits []RateLimit) []rateLimitFrame {
	var out []rateLimitFrame
	for _, l := range limits {
		out = append(out, rateLimitFrame{T: l.Target.ID(), B: l.Target.Started(), I: l.InForce, R: l.Rate, A: l.Age.Milliseconds()})
	}
	return out
}

func decodeRateLimits(frames []rateLimitFrame) ([]RateLimit, error) {
	var out []RateLimit
	for _, f := range frames {
		if !(f.R >= 0) || math.IsInf(f.R, 0) || f.A < 0 || f.A > maxRateLimitAge.Milliseconds() {
			return nil, fmt.Errorf("%w: rate limit of %v, %d ms old", ErrBadFrame, f.R, f.A)
		}
		out = append(out, RateLimit{Target: ragworthitch.NewBoot(f.T, f.B), InForce: f.I, Rate: f.R, Age: time.Duration(f.A) * time.Millisecond})
	}
	return out, nil
}

func encodeCacheLocations(locations []CacheLocation) []cacheLocationFrame {
	var out []cacheLocationFrame
	for _, l := range locations {
		out = append(out, cacheLocationFrame{S: l.Subject, T: l.Engine.ID(), B: l.Engine.Started()})
	}
	return out
}

func decodeCacheLocations(frames []cacheLocationFrame) []CacheLocation {
	var out []CacheLocation
	for _, f := range frames {
		out = append(out, CacheLocation{Subject: f.S, Engine: ragworthitch.NewBoot(f.T, f.B)})
	}
	return out
}

// DecodeView maps a CBOR frame to a view; errors wrap ErrBadFrame.
func DecodeView(b []byte) (View, error) {
	var f viewFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return View{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	v := View{Node: f.N}
	for _, l := range f.L {
		v.Loads = append(v.Loads, TargetLoad{Target: ragworthitch.NewBoot(l.T, l.B), Prefill: l.P, YieldingPrefill: l.L, Running: l.R, Tokens: l.K, EventInterval: time.Duration(l.G) * time.Microsecond})
	}
	for _, b := range f.B {
		if b.I < 0 || b.I >= len(v.Loads) {
			return View{}, fmt.Errorf("%w: size of bodies for load %d of %d", ErrBadFrame, b.I, len(v.Loads))
		}
		v.Loads[b.I].Bodies = b.N
	}
	v.CacheLocations = decodeCacheLocations(f.P)
	var err error
	if v.Crashes, err = decodeCrashes(f.D, f.Q, f.W, f.H); err != nil {
		return View{}, err
	}
	if err := decodeEvidence(f.V, v.Crashes); err != nil {
		return View{}, err
	}
	if v.SoundRuns, err = decodeSoundRuns(f.S, f.C, f.E); err != nil {
		return View{}, err
	}
	if v.RateLimits, err = decodeRateLimits(f.R); err != nil {
		return View{}, err
	}
	if v.Usage, err = decodeUsage(f.U); err != nil {
		return View{}, err
	}
	if v.Refusals, err = decodeRefusals(f.X); err != nil {
		return View{}, err
	}
	if v.Draining, err = decodeDraining(f.G); err != nil {
		return View{}, err
	}
	return v, nil
}

// DialView connects to the instance at addr (host:port) to send it views.
func DialView(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, ViewPath, maxViewFrame)
}

// AcceptView accepts a connection of a peer that sends its views.
func AcceptView(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxViewFrame)
}

// SendView writes a view.
func (c *Conn) SendView(ctx context.Context, v View) error {
	b, err := EncodeView(v)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}

// RecvView reads a view.
func (c *Conn) RecvView(ctx context.Context) (View, error) {
	b, err := c.read(ctx)
	if err != nil {
		return View{}, err
	}
	return DecodeView(b)
}
