package settings

// findTooDeep returns the line where values are nested deeper than maxDepth, or
// 0. It ignores brackets in strings and comments.
func findTooDeep(data []byte) int {
	depth, line := 0, 1
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\n':
			line++
		case '"':
			i = endOfString(data, i)
		case '/':
			end := endOfComment(data, i)
			for ; i < end; i++ {
				if data[i] == '\n' {
					line++
				}
			}
		case '[', '{':
			if depth++; depth > maxDepth {
				return line
			}
		case ']', '}':
			depth--
		}
	}
	return 0
}

// endOfString returns the index of the closing quote, or of the end of the line,
// because JSON strings contain no line breaks.
func endOfString(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"', '\n':
			return i
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment that starts
// at i, or i if no comment starts there.
func endOfComment(data []byte, i int) int {
	if i+1 >= len(data) {
		return i
	}
	switch data[i+1] {
	case '/':
		for i+1 < len(data) && data[i+1] != '\n' {
			i++
		}
	case '*':
		for i += 2; i+1 < len(data); i++ {
			if data[i] == '*' && data[i+1] == '/' {
				return i + 1
			}
		}
	}
	return i
}
