package upstream

import (
	"errors"
	"fmt"
	"net/http"
)

// minStatus and maxStatus are the least and the largest final status of an answer (RFC 9110,
// section 15).
const minStatus, maxStatus = 200, 599

// ErrBadHead means that the head of an answer is none: nothing in it can be trusted.
var ErrBadHead = errors.New("upstream: head of the answer is invalid")

// checkHead returns an error that wraps ErrBadHead if the head of an answer, as net/http has
// accepted it, is none.
func checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols && resp.Request.Header.Get("Upgrade") != "" {
		return nil
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrBadHead, resp.StatusCode)
	}
	return nil
}
