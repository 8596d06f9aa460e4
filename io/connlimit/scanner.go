package connlimit

import (
	"bytes"
	"strconv"
)

// Limits bounds the size of one head and the number of its lines. Zero values mean no limit.
type Limits struct{ Bytes, Lines int }

// unknownBody is the length of a body whose end net/http finds.
const unknownBody = -1

// scanner follows a head up to its end, in the way in which net/http reads it.
type scanner struct {
	size, lines int
	// line is the beginning of the current line, up to lineStart bytes, and length is its length so far.
	line   []byte
	length int
	// done is set at the end of the head.
	done bool
	// unframed is set where the head does not tell the body's length in the plainest way. lengths is the number of lines with the
	// length of the body.
	unframed bool
	lengths  int
	body     int64
}

// lineStart is the number of bytes that are kept of a line. It covers the headers that describe the body.
const lineStart = 48

// scan follows text up to the end of the head, and returns the number of bytes that belong to it.
func (s *scanner) scan(text []byte) int {
	read := 0
	for !s.done && read < len(text) {
		rest := text[read:]
		end := bytes.IndexByte(rest, '\n')
		part := rest
		if end >= 0 {
			part = rest[:end+1]
		}
		if room := lineStart - len(s.line); room > 0 {
			s.line = append(s.line, part[:min(room, len(part))]...)
		}
		s.length += len(part)
		read += len(part)
		if end >= 0 {
			s.endLine()
		}
	}
	s.size += read
	return read
}

// endLine ends the current line.
func (s *scanner) endLine() {
	blank := s.length == 1 || s.length == 2 && s.line[0] == '\r'
	s.done = blank
	if !blank && s.lines > 0 {
		s.endHeader()
	}
	s.lines++
	s.line, s.length = s.line[:0], 0
}

func (s *scanner) endHeader() {
	continued := s.line[0] == ' ' || s.line[0] == '\t'
	name, value, _ := bytes.Cut(s.line, []byte(":"))
	s.unframed = s.unframed || continued
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.unframed = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.lengths++
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t\r\n")), 10, 62)
		if err != nil || s.length > lineStart {
			s.unframed = true
		}
		s.body = int64(n)
	}
}

// bodyLength returns the length of the body that follows the head, or unknownBody if net/http alone knows its end.
func (s *scanner) bodyLength(head []byte) int64 {
	requestLine, _, _ := bytes.Cut(head, []byte("\n"))
	if s.unframed || s.lengths > 1 || !bytes.HasSuffix(bytes.TrimSuffix(requestLine, []byte("\r")), []byte(" HTTP/1.1")) {
		return unknownBody
	}
	return s.body
}

// exceeds returns the cause if the head exceeds the limits, or an empty text.
func (s *scanner) exceeds(l Limits) string {
	switch {
	case l.Bytes > 0 && s.size > l.Bytes:
		return CauseHeadSize
	case l.Lines > 0 && s.lines > l.Lines:
		return CauseLines
	}
	return ""
}
