package wire

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/poison"
)

// ViewPath is where an entry instance takes the views of others. Its number
// rises when frames change, so that instances of two versions don't misread
// each other.
const ViewPath = "/v2/view"

// maxView bounds one view; a thousand targets fit.
const maxView = 128 << 10

type (
	// View is what one entry instance has at the targets, or what of that
	// has changed since its last view on the same connection. One message a
	// frame, nothing is answered.
	View struct {
		Node   string
		Loads  []TargetLoad
		Places []Place
		Deaths []poison.Death
	}

	// Place says at which engine the instance has had a prompt read.
	Place struct {
		Subject string // the last part of the prompt
		Engine  ragworthitch.Boot
	}

	// TargetLoad is one instance's work at one target; all zero when it has
	// none any more.
	TargetLoad struct {
		Target  ragworthitch.Boot
		Prefill int // prompt tokens sent and not yet read
		Later   int // the same of calls that yield to others there
		Running int // calls in progress
		Tokens  int // memory its calls and copies take there, in tokens
		// Gap is how far apart the instance sees events of runs there; 0 if
		// it has seen none of late.
		Gap time.Duration
	}

	viewFrame struct {
		N string       `cbor:"1,keyasint"`
		L []loadFrame  `cbor:"2,keyasint,omitempty"`
		P []placeFrame `cbor:"3,keyasint,omitempty"`
		D []deathFrame `cbor:"4,keyasint,omitempty"`
	}

	deathFrame struct {
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

	placeFrame struct {
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

// EncodeView maps a view to its CBOR frame.
func EncodeView(v View) ([]byte, error) {
	f := viewFrame{N: v.Node}
	for _, l := range v.Loads {
		f.L = append(f.L, loadFrame{T: l.Target.ID(), B: l.Target.Started(), P: l.Prefill, L: l.Later, R: l.Running, K: l.Tokens, G: l.Gap.Microseconds()})
	}
	f.P, f.D = encodePlaces(v.Places), encodeDeaths(v.Deaths)
	return cbor.Marshal(f)
}

func encodeDeaths(deaths []poison.Death) []deathFrame {
	var out []deathFrame
	for _, d := range deaths {
		out = append(out, deathFrame{F: d.Print[:], T: d.Boot.ID(), B: d.Boot.Started(), C: d.Call, A: d.Together, W: d.Well, O: d.Org, S: d.Service, V: d.Version})
	}
	return out
}

func decodeDeaths(frames []deathFrame) ([]poison.Death, error) {
	var out []poison.Death
	for _, f := range frames {
		if len(f.F) != len(poison.Fingerprint{}) {
			return nil, fmt.Errorf("%w: fingerprint of %d bytes", ErrBadFrame, len(f.F))
		}
		out = append(out, poison.Death{Print: poison.Fingerprint(f.F), Boot: ragworthitch.NewBoot(f.T, f.B), Call: f.C, Together: f.A, Well: f.W, Org: f.O, Service: f.S, Version: f.V})
	}
	return out, nil
}

func encodePlaces(places []Place) []placeFrame {
	var out []placeFrame
	for _, p := range places {
		out = append(out, placeFrame{S: p.Subject, T: p.Engine.ID(), B: p.Engine.Started()})
	}
	return out
}

func decodePlaces(frames []placeFrame) []Place {
	var out []Place
	for _, f := range frames {
		out = append(out, Place{Subject: f.S, Engine: ragworthitch.NewBoot(f.T, f.B)})
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
		v.Loads = append(v.Loads, TargetLoad{Target: ragworthitch.NewBoot(l.T, l.B), Prefill: l.P, Later: l.L, Running: l.R, Tokens: l.K, Gap: time.Duration(l.G) * time.Microsecond})
	}
	v.Places = decodePlaces(f.P)
	var err error
	if v.Deaths, err = decodeDeaths(f.D); err != nil {
		return View{}, err
	}
	return v, nil
}

// DialView connects to the instance at addr (host:port) to send it views.
func DialView(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, ViewPath, maxView)
}

// AcceptView takes a connection of an instance that sends its views.
func AcceptView(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxView)
}

// SendView writes one view.
func (c *Conn) SendView(ctx context.Context, v View) error {
	b, err := EncodeView(v)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}

// RecvView reads one view.
func (c *Conn) RecvView(ctx context.Context) (View, error) {
	b, err := c.read(ctx)
	if err != nil {
		return View{}, err
	}
	return DecodeView(b)
}
