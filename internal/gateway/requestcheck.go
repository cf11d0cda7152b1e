package gateway

import (
	"fmt"
	"net/http"
	"unicode/utf8"
)

// TextError reports a field of a request that is not valid UTF-8. Such text can't be passed on
// to stage servers and other instances: JSON and protobuf would change or reject it.
type TextError struct {
	// Field is the name of the field in RequestInfo, in words.
	Field string
}

// Error names the field.
func (e *TextError) Error() string { return fmt.Sprintf("%s is not valid UTF-8", e.Field) }

// checkText checks the fields that are passed on as text. The error is a *TextError.
func (i RequestInfo) checkText() error {
	if !utf8.ValidString(i.ID) {
		return &TextError{"request ID"}
	}
	if !utf8.ValidString(i.PieceKey) {
		return &TextError{"piece key"}
	}
	for _, part := range i.Prompt {
		if !utf8.ValidString(part.ID) {
			return &TextError{"ID of a prompt part"}
		}
	}
	return nil
}

// checkRequest answers a request whose fields are not acceptable with status 400, before
// anything is done for it. It returns false then.
func (c *clientRequest) checkRequest() bool {
	err := c.route.CheckPieces(c.requestInfo.PieceCounts)
	if err == nil && c.service.Engine != nil {
		err = c.requestInfo.checkText()
	}
	if err != nil {
		c.fail(http.StatusBadRequest, err.Error(), err)
	}
	return err == nil
}
