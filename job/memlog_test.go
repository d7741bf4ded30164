package job

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// memLog is an upstream.Log with one stream in memory.
type memLog struct {
	mu            sync.Mutex
	records       []upstream.Record
	next          upstream.Offset
	oldest        upstream.Offset
	retainRecords int // number of records retained; 0 retains all
	down          bool
	answersToLose int // number of further appends that take effect but whose answer is lost
	appends       int // number of appends that took effect
	appended      chan struct{}
}

func newMemLog() *memLog { return &memLog{appended: make(chan struct{})} }

// update changes the settings of the log under its lock.
func (l *memLog) update(fn func(*memLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l)
}

func (l *memLog) Append(_ context.Context, _ string, records [][]byte) (upstream.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errkind.New(errkind.LogUnavailable, "log_down", "log is down")
	}
	first := l.next
	l.appends++
	for _, r := range records {
		l.records = append(l.records, upstream.Record{Offset: l.next, Data: append([]byte(nil), r...)})
		l.next++
	}
	if drop := len(l.records) - l.retainRecords; l.retainRecords > 0 && drop > 0 {
		l.records = append([]upstream.Record(nil), l.records[drop:]...)
		l.oldest = l.records[0].Offset
	}
	close(l.appended)
	l.appended = make(chan struct{})
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, errkind.New(errkind.AppendUnknown, "answer_lost", "answer lost")
	}
	return first, nil
}

func (l *memLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		if l.down {
			l.mu.Unlock()
			return upstream.Batch{}, errkind.New(errkind.LogUnavailable, "log_down", "log is down")
		}
		if from < l.oldest {
			oldest := l.oldest
			l.mu.Unlock()
			return upstream.Batch{}, &upstream.TrimmedError{Stream: stream, Oldest: oldest}
		}
		b := upstream.Batch{Next: from, Head: l.next, Oldest: l.oldest}
		for _, r := range l.records {
			if r.Offset >= from && len(b.Records) < limit {
				b.Records = append(b.Records, r)
				b.Next = r.Offset + 1
			}
		}
		appended := l.appended
		l.mu.Unlock()
		if len(b.Records) > 0 || wait == 0 {
			return b, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return upstream.Batch{}, errkind.Wrap(errkind.LogUnavailable, "cancelled", ctx.Err())
		}
	}
}

func (l *memLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
