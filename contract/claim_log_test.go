package contract

import "testing"

// Guards against a log line that grows with the number of keys of a takeover, which can be
// hundreds, and against one that names no key.
func TestFirstKeysAreBounded(t *testing.T) {
	var rec claimRecord
	for n := range 2 * maxLoggedKeys {
		rec.Keys = append(rec.Keys, claimKey{Key: JobsKey("r", n)})
	}
	if got, want := firstKeys(rec.claimedKeys()), "jobs/r/0,jobs/r/1,jobs/r/2,jobs/r/3,jobs/r/4"; got != want {
		t.Errorf("firstKeys returned %q, want %q", got, want)
	}
	if got, want := firstKeys([]Key{"ids/r/1"}), "ids/r/1"; got != want {
		t.Errorf("firstKeys returned %q, want %q", got, want)
	}
}
