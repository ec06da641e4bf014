package main

import (
	"io"
	"net"
	"sync"
)

// Link is a TCP proxy between one machine and the store. While it is silent, it
// accepts connections and passes on nothing, in either direction.
type Link struct {
	Addr string

	mu     sync.Mutex
	cond   *sync.Cond
	silent bool
}

func newLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{Addr: l.Addr().String()}
	k.cond = sync.NewCond(&k.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c, target)
		}
	}()
	return k, nil
}

func (k *Link) serve(c net.Conn, target string) {
	defer c.Close()
	k.wait()
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	pass := func(to io.Writer, from io.Reader) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			k.wait()
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(d, c)
	go pass(c, d)
	<-done
}

func (k *Link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.silent {
		k.cond.Wait()
	}
}

// SetSilent makes the link silent or lets it pass on bytes again.
func (k *Link) SetSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
	k.cond.Broadcast()
}
