// Package resp holds an upstream's answer whose body is still being read.
package resp

import (
	"io"
	"net/http"
)

// Resp is one answer. Close must be called once its body was read or is not wanted any more.
type Resp struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unframed says that the body has neither length nor chunks: the end of its connection alone marks its end.
	Unframed bool
	Named    bool   // it names the request that it belongs to
	Reused   bool   // its connection has carried other requests before
	Cut      func() // closes the connection at once, from any goroutine
	Close    func() // gives the connection back where the body was read to its end, else closes it
}
