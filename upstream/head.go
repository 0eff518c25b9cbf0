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

	// encodingField is the name of the field with the encodings of a body, and its end.
	encodingField = "transfer-encoding:"
)

var (
	// ErrBadHead means that the head of an answer is invalid: nothing in it can be trusted.
	ErrBadHead = errors.New("upstream: head of the answer is invalid")

	errFoldedLine = fmt.Errorf("%w: line begins with a blank", ErrBadHead)
	errOldChunks  = fmt.Errorf("%w: Transfer-Encoding in an answer of HTTP/1.0", ErrBadHead)
)

// lineGuard finds lines of heads of which net/http leaves nothing. Heads are counted from 1.
//
// net/textproto joins a line that begins with a blank to the one before it, as it was once folded,
// so that nothing is left of a name which a blank precedes. RFC 9112, section 5.2, asks a gateway to
// refuse such an answer or to join the lines.
//
// net/http drops Transfer-Encoding from an answer of HTTP/1.0, and passes its chunks as the body. The
// framing of such an answer is faulty by RFC 9112, section 6.1.
type lineGuard struct {
	inLine  bool // the current line has a byte
	matched int  // bytes of encodingField with which the current line begins; -1: it begins otherwise
	heads   int  // empty lines so far, each the end of a head; what follows the last head counts too
	folded  int  // the first head that has a line which begins with a blank; 0: none so far
	encoded int  // the first head that has encodingField; 0: none so far
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
			g.inLine, g.matched = false, 0
		case c == '\r': // of a line break, or net/http refuses it
		case !g.inLine && (c == ' ' || c == '\t') && g.folded == 0:
			g.folded = g.heads + 1
			g.inLine = true
		default:
			g.inLine = true
			g.matchEncoding(c)
		}
	}
}

// matchEncoding compares the next byte of a line with encodingField.
func (g *lineGuard) matchEncoding(c byte) {
	if g.matched < 0 || g.matched == len(encodingField) {
		return
	}
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if c != encodingField[g.matched] {
		g.matched = -1
		return
	}
	if g.matched++; g.matched == len(encodingField) && g.encoded == 0 {
		g.encoded = g.heads + 1
	}
}

// check returns an error if one of the first n heads has a line that begins with a blank, or an
// encoding that the protocol of resp, the answer with the n-th head, doesn't know.
func (g *lineGuard) check(resp *http.Response, n int) error {
	if g.folded > 0 && g.folded <= n {
		return errFoldedLine
	}
	if g.encoded > 0 && g.encoded <= n && !resp.ProtoAtLeast(1, 1) {
		return errOldChunks
	}
	return nil
}
