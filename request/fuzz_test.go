package request

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// fuzzService returns a service without executor groups and with small bodies only.
func fuzzService(t testing.TB) *Service {
	c := newTestCell(t)
	return c.startDaemon("d1", "w1", func(cfg *Config) { cfg.MaxBodyBytes = 64 }).svc
}

// Guards against panics, answers and internal errors for arbitrary calls of callers.
func FuzzCall(f *testing.F) {
	f.Add("acme", "quote", "01M8ZRQ089NRMHBC0NM8TGRV14", []byte("x"), int64(1000))
	f.Add("", "unknown", "not an id", make([]byte, 65), int64(-1))
	f.Add("acme", "valuation", "7ZZZZZZZZZZZZZZZZZZZZZZZZZ", []byte{}, int64(1<<62))
	s := fuzzService(f)
	f.Fuzz(func(t *testing.T, customer, class, id string, body []byte, us int64) {
		if us > 50_000 {
			us = 50_000 // keeps the runs short
		}
		_, err := s.Do(context.Background(), Call{Customer: customer, Class: Class(class), ID: id, Body: body,
			Deadline: time.Now().Add(time.Duration(us) * time.Microsecond)})
		if err == nil || errkind.Of(err) == errkind.InternalFailure {
			t.Errorf("no group exists, but the call ended with %v, want an error other than internal", err)
		}
	})
}

// Guards against panics and against the acceptance of invalid messages for arbitrary
// messages from other daemons.
func FuzzRPC(f *testing.F) {
	good, err := proto.Marshal(&rpc.RequestCall{Key: "exec/w1/a", Id: make([]byte, 16), Customer: "acme", Class: "quote", BudgetUs: 1000})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff, 0x01})
	s := fuzzService(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var in rpc.RequestCall
		var end rpc.RequestEnd
		if proto.Unmarshal(raw, &in) == nil {
			if r, err := (server{s}).parse(&in, "exec"); err == nil && (!r.class.Valid() || len(r.body) > 64 ||
				time.Until(r.deadline) > s.cfg.MaxDeadline) {
				t.Errorf("accepted the invalid call %v", r)
			}
		}
		if proto.Unmarshal(raw, &end) == nil {
			r := &request{id: [16]byte{1}}
			if rep, err := s.close(&end, r, []byte("body")); err == nil && rep.err == nil && end.Length != 4 {
				t.Errorf("accepted a body of 4 bytes with the end %v", &end)
			}
		}
		var report rpc.GroupLoadReport
		if proto.Unmarshal(raw, &report) == nil {
			s.loads.update(report.Loads...)
		}
	})
}
