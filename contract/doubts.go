package contract

import (
	"encoding/json"
	"time"
)

func encodeBody(v any) (json.RawMessage, error) { return json.Marshal(v) }

// doubts are the records of this daemon that were sent and not yet read back. A
// record of unknown outcome stays until the log shows it, or shows a newer epoch
// of its key, after which it has no effect.
type doubts struct {
	byID map[string]map[Key]doubt
}

type doubt struct {
	epoch   Epoch    // the epoch that the record builds on
	daemons []string // of an electorate update
	at      time.Time
}

func (d *doubts) init() { d.byID = make(map[string]map[Key]doubt) }

func (d *doubts) add(id string, k Key, e Epoch, daemons []string, now time.Time) {
	if d.byID[id] == nil {
		d.byID[id] = make(map[Key]doubt)
	}
	d.byID[id][k] = doubt{e, daemons, now}
}

// settle removes a record that was read back or is certainly not in the log.
func (d *doubts) settle(id string) { delete(d.byID, id) }

// dropOlder removes what cannot take effect any more at epoch e of k.
func (d *doubts) dropOlder(k Key, e Epoch) {
	for id, keys := range d.byID {
		if x, ok := keys[k]; ok && x.epoch < e {
			delete(keys, k)
		}
		if len(keys) == 0 {
			delete(d.byID, id)
		}
	}
}

// claimed reports whether a claim or release of k may still come to be in the log.
func (d *doubts) claimed(k Key) bool {
	for _, keys := range d.byID {
		if x, ok := keys[k]; ok && x.daemons == nil {
			return true
		}
	}
	return false
}

// blocksClaim reports whether a recent record of k is still being settled.
func (d *doubts) blocksClaim(k Key, now time.Time, settle time.Duration) bool {
	for _, keys := range d.byID {
		if x, ok := keys[k]; ok && x.daemons == nil && now.Sub(x.at) < 2*settle {
			return true
		}
	}
	return false
}

// electors returns the daemons that an unsettled update may have added to the electorate of k.
func (d *doubts) electors(k Key) []string {
	var out []string
	for _, keys := range d.byID {
		out = append(out, keys[k].daemons...)
	}
	return out
}
