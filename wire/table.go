package wire

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TablePath is where an entry instance answers questions of peers for tables of
// the store.
const TablePath = "/v1/table"

const (
	// maxQuestionFrame and maxAnswerFrame bound frames in bytes.
	maxQuestionFrame = 64 << 10
	// An instance sends at most 512 KiB of rows in an answer (relay).
	maxAnswerFrame = 2 << 20
	// maxWait bounds the wait of a question, and maxAge the age of an answer's
	// times. Values beyond them are errors of the sender.
	maxWait = 30 * time.Second
	maxAge  = 24 * time.Hour
)

// States of an Answer.
const (
	// AnswerOK: the rows answer the question.
	AnswerOK AnswerState = iota
	// AnswerMissed: the instance no longer has all changes after the version; the
	// asking instance has to read the whole table.
	AnswerMissed
	// AnswerStale: the instance holds no current table.
	AnswerStale
	// AnswerTooLarge: the rows exceed the size limit; the asking instance has to
	// read them from the store.
	AnswerTooLarge
)

type (
	// AnswerState is the result of a Question.
	AnswerState uint8

	// Question asks an instance for a table of the store. A connection carries one
	// question at a time.
	Question struct {
		Table     string
		Whole     bool          // all rows; otherwise those changed after version After
		After     int64         // version of the table
		Wait      time.Duration // how long to wait for changes
		WantsAsOf bool          // end the wait also when only the answer's AsOf has advanced
		// CacheLocations holds the cache locations that the asking instance has recorded
		// since its last question. The peer writes them to the store.
		CacheLocations []CacheLocation
	}

	// Answer answers a Question. Its times are relative to the receipt of the
	// question. The asking instance counts them from the time at which it sent the
	// question, on its own clock, so that pauses of either instance can only make
	// the table look older than it is.
	Answer struct {
		State         AnswerState
		Version       int64
		AsOf          time.Duration // time up to which the table is complete
		UnavailableAt time.Duration // when the store was last unavailable; 0: never
		Rows          []TableRow
	}

	// TableRow is a row of a table.
	TableRow struct {
		Key        string
		Value      []byte
		Version    int64
		Deleted    bool
		Unreadable bool // the value cannot be decoded
	}

	questionFrame struct {
		_ struct{} `cbor:",toarray"`
		T string
		W bool
		A int64
		D int64 // milliseconds
		P bool
		N []cacheLocationFrame
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
	return cbor.Marshal(questionFrame{T: q.Table, W: q.Whole, A: q.After, D: q.Wait.Milliseconds(), P: q.WantsAsOf, N: encodeCacheLocations(q.CacheLocations)})
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
	return Question{Table: f.T, Whole: f.W, After: f.A, Wait: time.Duration(f.D) * time.Millisecond, WantsAsOf: f.P, CacheLocations: decodeCacheLocations(f.N)}, nil
}

// EncodeAnswer maps an answer to its CBOR frame.
func EncodeAnswer(a Answer) ([]byte, error) {
	f := answerFrame{S: uint8(a.State), V: a.Version, P: a.AsOf.Microseconds(), A: a.UnavailableAt.Microseconds()}
	for _, r := range a.Rows {
		f.R = append(f.R, rowFrame{K: r.Key, V: r.Version, G: r.Deleted, B: r.Unreadable, X: r.Value})
	}
	return cbor.Marshal(f)
}

// DecodeAnswer maps a CBOR frame to an answer; errors wrap ErrBadFrame.
func DecodeAnswer(b []byte) (Answer, error) {
	var f answerFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Answer{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.S > uint8(AnswerTooLarge) {
		return Answer{}, fmt.Errorf("%w: state %d", ErrBadFrame, f.S)
	}
	if f.P > maxWait.Microseconds() || f.A > maxWait.Microseconds() {
		return Answer{}, fmt.Errorf("%w: time in the future", ErrBadFrame)
	}
	if f.P < -maxAge.Microseconds() || f.A < -maxAge.Microseconds() {
		return Answer{}, fmt.Errorf("%w: time of %d us ago", ErrBadFrame, -min(f.P, f.A))
	}
	a := Answer{State: AnswerState(f.S), Version: f.V, AsOf: time.Duration(f.P) * time.Microsecond, UnavailableAt: time.Duration(f.A) * time.Microsecond}
	for _, r := range f.R {
		a.Rows = append(a.Rows, TableRow{Key: r.K, Value: r.X, Version: r.V, Deleted: r.G, Unreadable: r.B})
	}
	return a, nil
}

// DialTable connects to the instance at addr (host:port) to ask for tables.
func DialTable(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, TablePath, maxAnswerFrame)
}

// AcceptTable accepts a connection of a peer that asks for tables.
func AcceptTable(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxQuestionFrame)
}

// Ask sends a question and waits for its answer. After an error the connection
// cannot be used any more: a late answer would be taken for that to the next question.
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

// RecvQuestion reads a question.
func (c *Conn) RecvQuestion(ctx context.Context) (Question, error) {
	b, err := c.read(ctx)
	if err != nil {
		return Question{}, err
	}
	return DecodeQuestion(b)
}

// SendAnswer writes an answer.
func (c *Conn) SendAnswer(ctx context.Context, a Answer) error {
	b, err := EncodeAnswer(a)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}
