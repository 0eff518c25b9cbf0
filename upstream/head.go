package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the least and the largest final status of an answer (RFC 9110,
	// section 15).
	minStatus = 200
	maxStatus = 599
)

var (
	// ErrBadHead means that the head of an answer is invalid: nothing in it can be trusted.
	ErrBadHead = errors.New("upstream: head of the answer is invalid")

	errFoldedLine = fmt.Errorf("%w: line begins with a blank", ErrBadHead)
)

// lineGuard finds lines of heads that begin with a blank. net/textproto joins such a line to the
// one before it, as it was once folded, so that nothing is left of a name which a blank precedes.
// RFC 9112, section 5.2, asks a gateway to refuse such an answer or to join the lines.
type lineGuard struct {
	inLine bool // the current line has a byte
	heads  int  // empty lines so far, each the end of a head; what follows the last head counts too
	folded int  // the first head that has a line which begins with a blank, from 1; 0: none so far
}

// checkHead returns an error that wraps ErrBadHead if the head of an answer, as net/http has
// accepted it, is invalid.
func checkHead(resp *http.Response) error {
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && resp.Request.Header.Get("Upgrade") != "" {
		return nil
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrBadHead, resp.StatusCode)
	}
	return nil
}

// checkNames returns an error if the name of a field is invalid. net/textproto refuses control bytes
// and empty names, but lets blanks through.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.*q", ErrBadHead, maxErrorText, name)
		}
	}
	return nil
}

// read takes the next bytes that were read.
func (g *lineGuard) read(b []byte) {
	for _, c := range b {
		switch {
		case c == '\n':
			if !g.inLine {
				g.heads++
			}
			g.inLine = false
		case c == '\r': // of a line break, or net/http refuses it
		case !g.inLine && (c == ' ' || c == '\t') && g.folded == 0:
			g.folded = g.heads + 1
			g.inLine = true
		default:
			g.inLine = true
		}
	}
}

// check returns an error if one of the first n heads has a line that begins with a blank.
func (g *lineGuard) check(n int) error {
	if g.folded > 0 && g.folded <= n {
		return errFoldedLine
	}
	return nil
}
