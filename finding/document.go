package finding

import (
	"strings"
	"unicode/utf8"

	"golang.org/x/text/unicode/norm"
	"gopkg.in/ini.v1"
)

// Codes of the findings that apply to any INI file.
const (
	CodeSyntax           Code = "syntax"
	CodeNotUTF8          Code = "not-utf-8"
	CodeNotNFC           Code = "not-nfc"
	CodeDuplicateSection Code = "duplicate-section"
	CodeDuplicateKey     Code = "duplicate-key"
	CodeUnknownSection   Code = "unknown-section"
	CodeUnknownKey       Code = "unknown-key"
	CodeMissingKey       Code = "missing-key"
	CodeBadValue         Code = "bad-value"
)

// Entry is a key with its value and line number.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Section is a section with its entries in file order.
type Section struct {
	Name    string
	Line    int
	Entries []Entry
}

// Document is a parsed INI file with the line numbers of its sections and entries.
type Document struct {
	File     string
	Sections []Section
}

// Parse parses an INI file and reports its syntax errors. The ini library provides the
// values but no line numbers, so these come from a second pass over the text.
func Parse(file string, data []byte) (*Document, List) {
	var l List
	d := &Document{File: file}
	checkText(file, data, &l)
	if len(l) > 0 {
		return d, l
	}
	o := ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: true, KeyValueDelimiters: "=", IgnoreContinuation: true}
	f, err := ini.LoadSources(o, data)
	if err != nil {
		l.Add(file, syntaxErrorLine(data), CodeSyntax, "%v", err)
		return d, l
	}
	d.addSections(string(data), f, &l)
	return d, l
}

func checkText(file string, data []byte, l *List) {
	for i, line := range strings.Split(string(data), "\n") {
		switch {
		case !utf8.ValidString(line):
			l.Add(file, i+1, CodeNotUTF8, "the line is not UTF-8 text")
		case !norm.NFC.IsNormalString(line):
			l.Add(file, i+1, CodeNotNFC, "the line is not in Unicode form NFC")
		}
	}
}

func syntaxErrorLine(data []byte) int {
	for i, line := range strings.Split(string(data), "\n") {
		t := strings.TrimSpace(line)
		if t == "" || isComment(t) || strings.Contains(t, "=") {
			continue
		}
		if !strings.HasPrefix(t, "[") || !strings.HasSuffix(t, "]") {
			return i + 1
		}
	}
	return 1
}

func isComment(t string) bool {
	return strings.HasPrefix(t, "#") || strings.HasPrefix(t, ";")
}

func (d *Document) addSections(text string, f *ini.File, l *List) {
	seen := map[string]bool{}
	used := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		t := strings.TrimSpace(line)
		switch {
		case t == "" || isComment(t):
		case strings.HasPrefix(t, "["):
			name := strings.TrimSpace(strings.Trim(t, "[]"))
			if seen[name] {
				l.Add(d.File, i+1, CodeDuplicateSection, "section %q appears twice", name)
			}
			seen[name] = true
			d.Sections = append(d.Sections, Section{Name: name, Line: i + 1})
		default:
			d.addEntry(t, i+1, f, used, l)
		}
	}
}

func (d *Document) addEntry(t string, line int, f *ini.File, used map[string]int, l *List) {
	k, _, found := strings.Cut(t, "=")
	k = strings.TrimSpace(k)
	if !found || len(d.Sections) == 0 {
		l.Add(d.File, line, CodeSyntax, "expected a section before %q", t)
		return
	}
	s := &d.Sections[len(d.Sections)-1]
	values := f.Section(s.Name).Key(k).ValueWithShadows()
	n := used[s.Name+"\x00"+k]
	used[s.Name+"\x00"+k] = n + 1
	v := ""
	if n < len(values) {
		v = values[n]
	}
	s.Entries = append(s.Entries, Entry{Key: k, Value: v, Line: line})
}

// Find returns the first entry with a key.
func (s Section) Find(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// LineOf returns the line of a key. It returns the line of the section if the key is
// missing, and 1 if the section is missing.
func (d *Document) LineOf(section, key string) int {
	for _, s := range d.Sections {
		if s.Name == section {
			return s.LineOf(key)
		}
	}
	return 1
}

// LineOf returns the line of a key, or the line of the section if the key is missing.
func (s Section) LineOf(key string) int {
	if e, ok := s.Find(key); ok {
		return e.Line
	}
	return s.Line
}
