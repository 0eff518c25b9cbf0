package wire

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// Where an entry instance lends to peers: retries out of its budget, by service, and
// permits of targets with a rate limit, by target.
const (
	LoanPath       = "/v1/loan"
	PermitLoanPath = "/v1/permit-loan"
)

const (
	// maxLoanFrame bounds a frame in bytes, and maxLoanCount the number in it.
	maxLoanFrame = 1 << 10
	maxLoanCount = 64
)

type (
	// Loan is a message that asks a peer for a number of retries or permits, or the
	// peer's answer with the number that it grants. Of says what they are for: a service,
	// or a target. A connection carries one request at a time.
	Loan struct {
		Of    string
		Count int
	}

	loanFrame struct {
		_ struct{} `cbor:",toarray"`
		S string
		N int
	}
)

// EncodeLoan maps a loan to its CBOR frame.
func EncodeLoan(l Loan) ([]byte, error) {
	return cbor.Marshal(loanFrame{S: l.Of, N: l.Count})
}

// DecodeLoan maps a CBOR frame to a loan; errors wrap ErrBadFrame.
func DecodeLoan(b []byte) (Loan, error) {
	var f loanFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Loan{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.N < 0 || f.N > maxLoanCount {
		return Loan{}, fmt.Errorf("%w: loan of %d", ErrBadFrame, f.N)
	}
	return Loan{Of: f.S, Count: f.N}, nil
}

// DialLoan connects to the instance at addr (host:port) to borrow from it. path is
// LoanPath or PermitLoanPath.
func DialLoan(ctx context.Context, addr, path string) (*Conn, error) {
	return dial(ctx, addr, path, maxLoanFrame)
}

// AcceptLoan accepts a connection of a peer that borrows.
func AcceptLoan(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxLoanFrame)
}

// Borrow asks for a loan and returns how many are granted. After an error
// the connection cannot be used any more.
func (c *Conn) Borrow(ctx context.Context, l Loan) (int, error) {
	if err := c.SendLoan(ctx, l); err != nil {
		return 0, err
	}
	got, err := c.RecvLoan(ctx)
	return min(got.Count, l.Count), err
}

// SendLoan writes a loan.
func (c *Conn) SendLoan(ctx context.Context, l Loan) error {
	b, err := EncodeLoan(l)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}

// RecvLoan reads a loan.
func (c *Conn) RecvLoan(ctx context.Context) (Loan, error) {
	b, err := c.read(ctx)
	if err != nil {
		return Loan{}, err
	}
	return DecodeLoan(b)
}
