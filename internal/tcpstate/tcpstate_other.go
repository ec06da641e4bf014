//go:build !linux

package tcpstate

// FailedFD reports no failure on this system, whose POLLHUP has another meaning.
func FailedFD(int) (bool, error) { return false, nil }
