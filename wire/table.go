package wire

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TablePath is where an entry instance answers others that ask for what it has
// read of the store's tables.
const TablePath = "/v1/table"

const (
	// maxQuestion bounds a question; some hundred places fit.
	maxQuestion = 64 << 10
	// maxAnswer bounds an answer: the store sends at most 1 MB of a table in
	// one call, and the targets of the size expected in two years are 150 kB.
	maxAnswer = 8 << 20
	// maxWait is the longest that a question may wait for changes, and maxAge
	// the oldest knowledge that may be told: both far beyond what is of use.
	maxWait = 30 * time.Second
	maxAge  = 24 * time.Hour
)

// States of an Answer.
const (
	// AnswerGood: the rows hold.
	AnswerGood AnswerState = iota
	// AnswerMissed: the changes asked for are no longer known; the table has to
	// be read whole.
	AnswerMissed
	// AnswerBehind: the instance does not know the table well enough to answer.
	AnswerBehind
	// AnswerLarge: the rows are too many to be told to everybody by one
	// instance; the asker has to read them from the store.
	AnswerLarge
)

type (
	// AnswerState says what an Answer is.
	AnswerState uint8

	// Question asks an instance for a table of the store. One is answered
	// after the other on a connection.
	Question struct {
		Table string
		Whole bool          // all rows; otherwise those changed after a version
		After int64         // that version
		Wait  time.Duration // how long to wait for changes
		Proof bool          // answer also when the table is known to be complete up to a later moment
		// Places are where the asker has had prompts read since its last question,
		// for whoever reads the store for it to keep there.
		Places []Place
	}

	// Answer is what the instance knows. Its times are relative to the moment
	// at which it received the question, so that the asker can count them from
	// the moment at which it asked, on its own clock: that makes knowledge look
	// older, if anything, however long either of them stands still.
	Answer struct {
		State   AnswerState
		Version int64
		Proved  time.Duration // up to when the table is known to be complete
		Away    time.Duration // when the store last did not answer; 0: never
		Rows    []TableRow
	}

	// TableRow is a row of a table.
	TableRow struct {
		Key     string
		Value   []byte
		Version int64
		Gone    bool
		Bad     bool // its value cannot be read
	}

	questionFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		W bool
		A int64
		D int64 // milliseconds
		P bool
		N []placeFrame
	}

	answerFrame struct {
		_ struct{} `cbor:",toarray"`
		S uint8
		V int64
		P int64 // microseconds
		A int64 // microseconds
		R []rowFrame
	}

	rowFrame struct {
		_ struct{} `cbor:",toarray"`
		K string
		V int64
		G bool
		B bool
		X []byte
	}
)

// EncodeQuestion maps a question to its CBOR frame.
func EncodeQuestion(q Question) ([]byte, error) {
	return cbor.Marshal(questionFrame{T: q.Table, W: q.Whole, A: q.After, D: q.Wait.Milliseconds(), P: q.Proof, N: encodePlaces(q.Places)})
}

// DecodeQuestion maps a CBOR frame to a question; errors wrap ErrBadFrame.
func DecodeQuestion(b []byte) (Question, error) {
	var f questionFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Question{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.D < 0 || f.D > maxWait.Milliseconds() {
		return Question{}, fmt.Errorf("%w: wait of %d ms", ErrBadFrame, f.D)
	}
	return Question{Table: f.T, Whole: f.W, After: f.A, Wait: time.Duration(f.D) * time.Millisecond, Proof: f.P, Places: decodePlaces(f.N)}, nil
}

// EncodeAnswer maps an answer to its CBOR frame.
func EncodeAnswer(a Answer) ([]byte, error) {
	f := answerFrame{S: uint8(a.State), V: a.Version, P: a.Proved.Microseconds(), A: a.Away.Microseconds()}
	for _, r := range a.Rows {
		f.R = append(f.R, rowFrame{K: r.Key, V: r.Version, G: r.Gone, B: r.Bad, X: r.Value})
	}
	return cbor.Marshal(f)
}

// DecodeAnswer maps a CBOR frame to an answer; errors wrap ErrBadFrame.
func DecodeAnswer(b []byte) (Answer, error) {
	var f answerFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Answer{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.S > uint8(AnswerLarge) {
		return Answer{}, fmt.Errorf("%w: state %d", ErrBadFrame, f.S)
	}
	if f.P > maxWait.Microseconds() || f.A > maxWait.Microseconds() {
		return Answer{}, fmt.Errorf("%w: knowledge from the future", ErrBadFrame)
	}
	if f.P < -maxAge.Microseconds() || f.A < -maxAge.Microseconds() {
		return Answer{}, fmt.Errorf("%w: knowledge of %d us ago", ErrBadFrame, -min(f.P, f.A))
	}
	a := Answer{State: AnswerState(f.S), Version: f.V, Proved: time.Duration(f.P) * time.Microsecond, Away: time.Duration(f.A) * time.Microsecond}
	for _, r := range f.R {
		a.Rows = append(a.Rows, TableRow{Key: r.K, Value: r.X, Version: r.V, Gone: r.G, Bad: r.B})
	}
	return a, nil
}

// DialTable connects to the instance at addr (host:port) to ask for tables.
func DialTable(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, TablePath, maxAnswer)
}

// AcceptTable takes a connection of an instance that asks for tables.
func AcceptTable(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxQuestion)
}

// Ask sends a question and waits for its answer. After an error the connection
// is of no more use: a late answer might be taken for the next one's.
func (c *Conn) Ask(ctx context.Context, q Question) (Answer, error) {
	b, err := EncodeQuestion(q)
	if err != nil {
		return Answer{}, err
	}
	if err := c.write(ctx, b); err != nil {
		return Answer{}, err
	}
	if b, err = c.read(ctx); err != nil {
		return Answer{}, err
	}
	return DecodeAnswer(b)
}

// RecvQuestion reads one question.
func (c *Conn) RecvQuestion(ctx context.Context) (Question, error) {
	b, err := c.read(ctx)
	if err != nil {
		return Question{}, err
	}
	return DecodeQuestion(b)
}

// SendAnswer writes one answer.
func (c *Conn) SendAnswer(ctx context.Context, a Answer) error {
	b, err := EncodeAnswer(a)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}
