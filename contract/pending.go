package contract

import "time"

// pendingRecords are the records of this daemon that were sent and not yet read back. A
// record of unknown outcome stays until the log shows it, or until the log shows a newer
// epoch of its key, because the record then has no effect any more.
type pendingRecords struct {
	byID map[string]map[Key]pendingRecord // by record id
}

// pendingRecord is what a sent record would change of one key.
type pendingRecord struct {
	baseEpoch  Epoch    // epoch that the key must have for the record to take effect
	electorate []string // new electorate; nil for a claim or a release
	sentAt     time.Time
}

func (p *pendingRecords) init() { p.byID = make(map[string]map[Key]pendingRecord) }

// add notes that the record id is being sent for k. electorate is nil for a claim or a release.
func (p *pendingRecords) add(id string, k Key, baseEpoch Epoch, electorate []string, now time.Time) {
	if p.byID[id] == nil {
		p.byID[id] = make(map[Key]pendingRecord)
	}
	p.byID[id][k] = pendingRecord{baseEpoch, electorate, now}
}

// resolve removes a record that was read back, or that is certainly not in the log and
// never will be.
func (p *pendingRecords) resolve(id string) { delete(p.byID, id) }

// dropSuperseded removes what cannot take effect any more because k is at epoch e.
func (p *pendingRecords) dropSuperseded(k Key, e Epoch) {
	for id, keys := range p.byID {
		if rec, ok := keys[k]; ok && rec.baseEpoch < e {
			delete(keys, k)
		}
		if len(keys) == 0 {
			delete(p.byID, id)
		}
	}
}

// mayChangeOwner reports whether a pending claim or release of k may still appear in the log.
func (p *pendingRecords) mayChangeOwner(k Key) bool {
	for _, keys := range p.byID {
		if rec, ok := keys[k]; ok && rec.electorate == nil {
			return true
		}
	}
	return false
}

// blocksClaim reports whether a pending claim or release of k is younger than twice the
// resolve timeout of the writer, which may then still be searching for it.
func (p *pendingRecords) blocksClaim(k Key, now time.Time, resolveTimeout time.Duration) bool {
	for _, keys := range p.byID {
		if rec, ok := keys[k]; ok && rec.electorate == nil && now.Sub(rec.sentAt) < 2*resolveTimeout {
			return true
		}
	}
	return false
}

// possibleElectors returns the daemons that a pending update may have added to the
// electorate of k.
func (p *pendingRecords) possibleElectors(k Key) []string {
	var out []string
	for _, keys := range p.byID {
		out = append(out, keys[k].electorate...)
	}
	return out
}
