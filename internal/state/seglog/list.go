package seglog

import (
	"os"
	"strings"
)

// List returns the ids of the segments in the folder, in lexical order. They
// were not checked. The error is the file system's.
func (s *Log) List() ([]string, error) {
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
