package contract_test

import (
	"testing"

	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// keysOfCell is 4 racks, 4 job shards and 4 id shards.
const keysOfCell = 12

// Guards against keys that stay without an owner after a daemon is killed, and
// against a takeover by one daemon only.
func TestTakeoverIsSpread(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	eventually(t, "all keys held", holdAll(keysOfCell, a, b, d))
	d.stop()
	eventually(t, "all keys held by the two others", holdAll(keysOfCell, a, b))
	if na, nb := len(a.claimer.Held()), len(b.claimer.Held()); na == 0 || nb == 0 {
		t.Errorf("takeover is not spread: a holds %d, b holds %d", na, nb)
	}
}
