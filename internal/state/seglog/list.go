package seglog

import (
	"os"
	"strings"
)

// List returns the ids of the segments in the folder, in lexical order, without
// verifying the segments. The error is that of the file system.
func (s *Store) List() ([]string, error) {
	d, e := os.ReadDir(s.folder)
	if e != nil {
		return nil, e
	}
	var l []string
	for _, f := range d {
		b, o := strings.CutSuffix(f.Name(), segmentSuffix)
		if o {
			l = append(l, b)
		}
	}
	return l, nil
}
