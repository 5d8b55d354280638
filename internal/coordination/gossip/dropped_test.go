package gossip_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a line of log for each datagram of a stranger, such as another
// system that uses the same port.
func TestStrangersDatagramsFillLog(t *testing.T) {
	runFleet(t, 1, func(e *network, l []*front) {
		for range 300 {
			e.mu.Lock()
			s := e.sockets[l[1].address]
			e.mu.Unlock()
			_, _ = s.WriteTo([]byte("stranger"), e.sockets[l[0].address].address)
			time.Sleep(50 * time.Millisecond)
		}
		n, c := 0, 0
		synctest.Wait()
		for _, x := range l[0].logs.Entries {
			if strings.Contains(x.Message, "datagrams dropped") {
				n++
				c += x.Fields.Get("datagrams").(int)
			}
		}
		if d := cmp.Diff([]int{2, 201}, []int{n, c}); d != "" {
			t.Error(d)
		}
	})
}
