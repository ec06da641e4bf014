package config

import (
	"fmt"
	"regexp"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// ConflictError reports that an object has changed since the version that a
// change is based on. ChangeID and Author identify the earlier change.
// HaveVersion is 0 if the object no longer exists.
type ConflictError struct {
	Object      string `json:"object"`
	HaveVersion uint64 `json:"have_version"`
	BaseVersion uint64 `json:"base_version"`
	ChangeID    string `json:"change_id"`
	Author      string `json:"author"`
}

func (e *ConflictError) Error() string {
	if e.HaveVersion == 0 {
		return fmt.Sprintf("conflict: %s does not exist any more (base version %d, last change %q by %q)",
			e.Object, e.BaseVersion, e.ChangeID, e.Author)
	}
	return fmt.Sprintf("conflict: %s is at version %d (base version %d), changed by change %q of %q",
		e.Object, e.HaveVersion, e.BaseVersion, e.ChangeID, e.Author)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Object string `json:"object"`
}

func (e *NotFoundError) Error() string { return e.Object + " does not exist" }

// changeIDPattern allows only ids that can be part of a row key.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// ValidChangeID reports whether id is a well-formed change id.
func ValidChangeID(id string) bool { return changeIDPattern.MatchString(id) }

// Apply returns the document that results from applying op. It never modifies
// doc. If a change with the same id has already applied the operation, Apply
// returns doc itself. Errors wrap a *ConflictError, *NotFoundError or
// *findings.Error.
func Apply(doc *Document, ch Change, op Operation) (*Document, error) {
	if doc == nil {
		doc = &Document{}
	}
	if !ValidChangeID(ch.ID) {
		return nil, findingError("change.id", "%q is not a valid change id", ch.ID)
	}
	if op == nil {
		return nil, findingError("operation", "is missing")
	}
	done, err := op.check(doc, ch)
	if err != nil {
		return nil, errors.Wrap(err, op.summary())
	}
	if done {
		return doc, nil
	}
	next := doc.shallowClone()
	next.Version = doc.Version + 1
	next.Change = ch
	next.Change.Object = op.Object()
	if next.Change.Summary == "" {
		next.Change.Summary = op.summary()
	}
	op.apply(next, ch)
	var list findings.List
	op.validate(next, &list)
	if err := list.Err(); err != nil {
		return nil, errors.Wrap(err, op.summary())
	}
	return next, nil
}

func findingError(path, format string, args ...any) error {
	var list findings.List
	list.Add(path, format, args...)
	return list.Err()
}
