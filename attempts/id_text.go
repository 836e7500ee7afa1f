package attempts

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrBadID is returned by ParseID for text that is not an ID.
var ErrBadID = eris.New("not an attempt id")

const idFormat = "%x-%x-%x-%x"

// String returns the text form of the ID, which messages carry.
func (a ID) String() string {
	return fmt.Sprintf(idFormat, a.Issued, a.Entry, a.Sequence, a.Incarnation)
}

// ParseID parses the text form of an ID.
func ParseID(text string) (ID, error) {
	var a ID
	n, err := fmt.Sscanf(text, idFormat, &a.Issued, &a.Entry, &a.Sequence, &a.Incarnation)
	if err != nil || n != 4 {
		return ID{}, eris.Wrapf(ErrBadID, "%q", text)
	}
	return a, nil
}
