package cell

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcpool"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/connlimit"
	"github.com/sassafraslb/sassafraslb/sched"
)

// The paths of the calls between daemons. Messages are encoded as CBOR and sent over drpc.
const (
	rpcSubmit   = "/cell/submit"
	rpcState    = "/cell/state"
	rpcCancel   = "/cell/cancel"
	rpcRegister = "/cell/hello"
	rpcAdvise   = "/cell/ask"
	rpcLog      = "/cell/log"
)

// call is the request of any call between daemons. Each kind of call sets only the fields that it
// needs.
type call struct {
	Job        *sched.Job `cbor:"1,keyasint,omitempty"`
	ID         string     `cbor:"2,keyasint,omitempty"` // of a job
	Daemon     string     `cbor:"3,keyasint,omitempty"` // name of the sender
	Address    string     `cbor:"4,keyasint,omitempty"` // of the sender, for calls between daemons
	Step       string     `cbor:"5,keyasint,omitempty"` // of an advice request
	Machines   []string   `cbor:"6,keyasint,omitempty"` // of an advice request
	Log        *logCall   `cbor:"7,keyasint,omitempty"`
	ReachesLog bool       `cbor:"8,keyasint,omitempty"` // the sender reaches the log by direct calls
	Cores      float64    `cbor:"9,keyasint,omitempty"` // processor capacity of the sender's host
	// LogRoundTripMicros is the sender's least round trip to the log, in microseconds, 0 if not known.
	LogRoundTripMicros int64 `cbor:"10,keyasint,omitempty"`
	Leaving            bool  `cbor:"11,keyasint,omitempty"` // the sender is about to stop
	// Tenant and AnyTenant are those of the Caller for whom a job is submitted, read or cancelled.
	Tenant    string `cbor:"12,keyasint,omitempty"`
	AnyTenant bool   `cbor:"13,keyasint,omitempty"`
}

// logCall is a call to the log that one daemon relays for another. Kind is "append", "read" or
// "newest".
type logCall struct {
	Stream  Stream        `cbor:"1,keyasint"`
	Kind    string        `cbor:"2,keyasint"`
	Entries []Entry       `cbor:"3,keyasint,omitempty"`
	Fence   Fence         `cbor:"4,keyasint,omitempty"`
	From    int64         `cbor:"5,keyasint,omitempty"`
	Wait    time.Duration `cbor:"6,keyasint,omitempty"`
	After   string        `cbor:"7,keyasint,omitempty"` // key after which Newest goes on
}

// reply is the answer to a call.
type reply struct {
	Kind    errkind.Kind      `cbor:"1,keyasint,omitempty"` // empty on success
	Reason  string            `cbor:"2,keyasint,omitempty"`
	Detail  string            `cbor:"3,keyasint,omitempty"`
	State   sched.JobState    `cbor:"4,keyasint,omitempty"`
	Known   bool              `cbor:"5,keyasint,omitempty"` // the job exists
	Pending map[string]int    `cbor:"6,keyasint,omitempty"` // jobs without a started task, by queue
	Tickets map[string]string `cbor:"7,keyasint,omitempty"` // by machine
	Valid   time.Duration     `cbor:"8,keyasint,omitempty"` // of the tickets
	Page    *Page             `cbor:"9,keyasint,omitempty"`
	Relays  []string          `cbor:"10,keyasint,omitempty"` // addresses of daemons that reach the log
	Wait    time.Duration     `cbor:"11,keyasint,omitempty"` // with Kind: expected time until the request could be served
}

// err returns the error that the reply holds, or nil.
func (r *reply) err() error {
	if r.Kind == "" {
		return nil
	}
	err := errkind.New(r.Kind, r.Reason, "%s", r.Detail)
	err.Wait = r.Wait
	return err
}

// setError stores err, which may be nil, in the reply.
func (r *reply) setError(err error) {
	if err == nil {
		return
	}
	r.Kind, r.Reason, r.Detail, r.Wait = errkind.Of(err), errkind.ReasonOf(err), err.Error(), errkind.WaitOf(err)
	var e *errkind.Error
	if errors.As(err, &e) {
		r.Detail = e.Detail
	}
}

// codec encodes the messages of all calls.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

// handler serves one kind of call.
type handler func(ctx context.Context, c *call) (*reply, error)

// rpcDescription lists the calls that a daemon serves. It implements drpc.Description.
type rpcDescription []struct {
	path   string
	handle handler
}

// NumMethods implements drpc.Description.
func (s rpcDescription) NumMethods() int { return len(s) }

// Method implements drpc.Description.
func (s rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(s) {
		return "", nil, nil, nil, false
	}
	handle := s[n].handle
	receive := func(_ any, ctx context.Context, in, _ any) (drpc.Message, error) {
		c, ok := in.(*call)
		if !ok {
			return nil, errors.Errorf("unexpected message of type %T", in)
		}
		if transport, ok := drpcctx.Transport(ctx); ok {
			if conn, ok := transport.(*connlimit.Conn); ok {
				defer conn.ServeMessage()()
			}
		}
		out, err := handle(ctx, c)
		if out == nil {
			out = &reply{}
		}
		out.setError(err)
		return out, nil
	}
	return s[n].path, codec{}, receive, unarySignature, true
}

// unarySignature tells drpc the message types, which are the same for all calls.
var unarySignature = (*unaryMethod).Handle

type unaryMethod struct{}

// Handle has the signature of a unary call. It is never called.
func (*unaryMethod) Handle(context.Context, *call) (*reply, error) { return nil, nil }

// maxIdleConnections bounds the idle connections to one daemon. A connection serves one call at a
// time.
const maxIdleConnections = 8

// idleConnExpiration is after how long an idle connection is closed by the daemon that opened it.
const idleConnExpiration = 30 * time.Second

// connectTimeout bounds the setup of a connection to another daemon.
const connectTimeout = 500 * time.Millisecond

// connPool holds connections to other daemons by address, and makes calls over them.
type connPool struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

func newConnPool() *connPool {
	return &connPool{drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleConnExpiration, KeyCapacity: maxIdleConnections,
	})}
}

// call sends a request to the daemon at address and returns its reply. An error of kind unreachable
// means that nothing was sent, and outcome_unknown that no answer came; other errors are those that
// the daemon replied, and come with the reply.
func (p *connPool) call(ctx context.Context, address, path string, c *call) (*reply, error) {
	connected := true
	conn := p.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		dialer := net.Dialer{Timeout: connectTimeout}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			connected = false
			return nil, err
		}
		return drpcconn.New(raw), nil
	})
	defer conn.Close()
	out := &reply{}
	if err := conn.Invoke(ctx, path, codec{}, c, out); err != nil {
		if !connected {
			return nil, errkind.Wrap(errkind.Unreachable, "dial", err)
		}
		return nil, errkind.Wrap(errkind.OutcomeUnknown, "no_answer", err)
	}
	return out, out.err()
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
