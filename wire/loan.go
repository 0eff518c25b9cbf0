package wire

import (
	"context"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// LoanPath is where an entry instance lends retries out of its budget to peers.
const LoanPath = "/v1/loan"

const (
	// maxLoanFrame bounds a frame in bytes, and maxLoanRetries the retries in it.
	maxLoanFrame   = 1 << 10
	maxLoanRetries = 64
)

type (
	// Loan is a message that asks for retries out of a peer's retry budget for a
	// service, or the peer's answer with the number of retries that it grants. A
	// connection carries one request at a time.
	Loan struct {
		Service string
		Retries int
	}

	loanFrame struct {
		_ struct{} `cbor:",toarray"`
		S string
		N int
	}
)

// EncodeLoan maps a loan to its CBOR frame.
func EncodeLoan(l Loan) ([]byte, error) {
	return cbor.Marshal(loanFrame{S: l.Service, N: l.Retries})
}

// DecodeLoan maps a CBOR frame to a loan; errors wrap ErrBadFrame.
func DecodeLoan(b []byte) (Loan, error) {
	var f loanFrame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Loan{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.N < 0 || f.N > maxLoanRetries {
		return Loan{}, fmt.Errorf("%w: loan of %d retries", ErrBadFrame, f.N)
	}
	return Loan{Service: f.S, Retries: f.N}, nil
}

// DialLoan connects to the instance at addr (host:port) to borrow retries.
func DialLoan(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, LoanPath, maxLoanFrame)
}

// AcceptLoan accepts a connection of a peer that borrows retries.
func AcceptLoan(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxLoanFrame)
}

// Borrow asks for a loan and returns how many retries are granted. After an error
// the connection cannot be used any more.
func (c *Conn) Borrow(ctx context.Context, l Loan) (int, error) {
	if err := c.SendLoan(ctx, l); err != nil {
		return 0, err
	}
	got, err := c.RecvLoan(ctx)
	return min(got.Retries, l.Retries), err
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
