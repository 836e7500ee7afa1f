package attempts

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrBadID: a text that is not the form of an ID.
var ErrBadID = eris.New("not an attempt id")

const idFormat = "%x-%x-%x-%x"

// String returns the form of the ID that messages carry and ParseID reads.
func (a ID) String() string {
	return fmt.Sprintf(idFormat, a.Issued, a.Entry, a.Sequence, a.Incarnation)
}

// ParseID reads what String returned.
func ParseID(text string) (ID, error) {
	var a ID
	n, err := fmt.Sscanf(text, idFormat, &a.Issued, &a.Entry, &a.Sequence, &a.Incarnation)
	if err != nil || n != 4 {
		return ID{}, eris.Wrapf(ErrBadID, "%q", text)
	}
	return a, nil
}
