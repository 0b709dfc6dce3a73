// Package finding parses operators' INI files and collects the faults found in
// them with file and line, so that all of them are reported together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Code is the stable name of a kind of finding, independent of the language of its
// text.
type Code string

// Finding is a fault at a line of a file.
type Finding struct {
	File string
	Line int
	Code Code
	Text string
}

// String formats the finding as file:line: code: text.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Code, f.Text)
}

// List is a collection of findings. It implements error.
type List []Finding

// Add appends a finding.
func (l *List) Add(file string, line int, code Code, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Code: code, Text: fmt.Sprintf(format, args...)})
}

// Error returns one line for each finding, ordered by file and line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l.Sorted() {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the findings ordered by file and line.
func (l List) Sorted() List {
	s := append(List(nil), l...)
	sort.SliceStable(s, func(i, j int) bool {
		if s[i].File != s[j].File {
			return s[i].File < s[j].File
		}
		return s[i].Line < s[j].Line
	})
	return s
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
