package gateway

import (
	"cmp"
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// maxPromptParts bounds the parts of a prompt. Each is looked up for every model server that may
// get the prompt.
const maxPromptParts = 256

// PromptPartsError reports a prompt with more than maxPromptParts parts.
type PromptPartsError struct {
	// Count is the number of its parts.
	Count int
}

// Error names the bound.
func (e *PromptPartsError) Error() string {
	return fmt.Sprintf("%d prompt parts, at most %d are allowed", e.Count, maxPromptParts)
}

// maxPromptTokens bounds the tokens of a prompt where the memory of the model servers is unknown.
const maxPromptTokens = 16 << 20

// PromptTokensError reports a prompt that no model server can hold.
type PromptTokensError struct {
	// Tokens is the length of the prompt, Limit the memory of a model server in tokens.
	Tokens, Limit int
}

// Error names the bound.
func (e *PromptTokensError) Error() string {
	return fmt.Sprintf("prompt has %d tokens, model servers hold at most %d", e.Tokens, e.Limit)
}

// MalformedError reports a field of a request whose value can't be decoded. Such a field does not
// count as absent: the request would be served without what it asks for.
type MalformedError struct {
	// Field is the name of the field in words.
	Field string
}

// Error names the field.
func (e *MalformedError) Error() string { return e.Field + " is malformed" }

// TextError reports a field of a request that is not valid UTF-8. Such text can't be passed on
// to stage servers and other instances: JSON and protobuf would change or reject it.
type TextError struct {
	// Field is the name of the field in RequestInfo, in words.
	Field string
}

// Error names the field.
func (e *TextError) Error() string { return fmt.Sprintf("%s is not valid UTF-8", e.Field) }

// checkPrompt checks the number of parts of the prompt. The error is a *PromptPartsError.
func (i RequestInfo) checkPrompt() error {
	if count := len(i.Prompt); count > maxPromptParts {
		return &PromptPartsError{Count: count}
	}
	return nil
}

// checkPromptTokens checks the length of the prompt against the memory of the model servers. The
// error is a *PromptTokensError.
func (i RequestInfo) checkPromptTokens(profile *route.EngineProfile) error {
	limit := cmp.Or(profile.CacheTokens, maxPromptTokens)
	if tokens := i.promptTokens(); tokens > limit {
		return &PromptTokensError{Tokens: tokens, Limit: limit}
	}
	return nil
}

// promptTokens returns the length of the prompt.
func (i RequestInfo) promptTokens() (tokens int) {
	for _, part := range i.Prompt {
		tokens += part.Tokens
	}
	return tokens
}

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
	if c.service.Engine == nil {
		return true
	}
	err := cmp.Or(c.malformed, c.route.CheckPieces(c.requestInfo.PieceCounts), c.requestInfo.checkPrompt(),
		c.requestInfo.checkPromptTokens(c.service.Engine), c.requestInfo.checkText())
	if err != nil {
		c.fail(http.StatusBadRequest, err.Error(), err)
	}
	return err == nil
}
