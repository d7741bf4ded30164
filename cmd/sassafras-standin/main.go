// Command sassafras-standin runs one stand-in of a service of the platform: the log, the
// host list, a worker or an executor. It is for trials and tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
)

func main() {
	app := kingpin.New("sassafras-standin", "Stand-ins of the platform for trials and tests. All state is in memory.")
	listen := app.Flag("listen", "IP:port to listen on.").Required().String()

	logCmd := app.Command("log", "The append-only log.")
	logRecords := logCmd.Flag("max-records", "Records kept per stream; 0 keeps all.").Int()
	logAge := logCmd.Flag("max-age", "Age from which records are dropped; 0 keeps all.").Duration()

	hostsCmd := app.Command("hosts", "The host list. PUT /v1/hosts sets it.")
	hostsLag := hostsCmd.Flag("lag", "Age of the list that is returned.").Default("1s").Duration()

	workerCmd := app.Command("worker", "A worker that runs tasks under leases.")
	workerID := workerCmd.Flag("id", "Id of the worker.").Required().String()
	workerCPU := workerCmd.Flag("cpu-milli", "Thousandths of a processor.").Default("16000").Int64()
	workerMemory := workerCmd.Flag("memory-mib", "Memory in MiB.").Default("32768").Int64()
	workerAccelerators := workerCmd.Flag("accelerators", "Number of accelerators.").Int64()

	execCmd := app.Command("executor", "An executor that answers requests in slots.")
	execSlots := execCmd.Flag("slots", "Requests that run at the same time.").Default("8").Int()
	execConnections := execCmd.Flag("connections", "Connections allowed.").Default("64").Int()
	execServiceTime := execCmd.Flag("service-time", "Mean run time of a request.").Default("20ms").Duration()
	execSeed := execCmd.Flag("seed", "Seed of the run times.").Default("1").Uint64()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	l, err := net.Listen("tcp", *listen)
	app.FatalIfError(err, "listen")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch command {
	case logCmd.FullCommand():
		serve(ctx, l, standin.NewLog(standin.LogConfig{MaxRecords: *logRecords, MaxAge: *logAge}))
	case hostsCmd.FullCommand():
		serve(ctx, l, standin.NewHostList(*hostsLag))
	case workerCmd.FullCommand():
		serve(ctx, l, standin.NewWorker(standin.WorkerConfig{
			ID:       *workerID,
			Capacity: machine.Resources{CPUMilli: *workerCPU, MemoryMiB: *workerMemory, Accelerators: *workerAccelerators},
		}))
	case execCmd.FullCommand():
		executor := standin.NewExecutor(l, standin.ExecutorConfig{
			Slots: *execSlots, Connections: *execConnections, ServiceTime: *execServiceTime, Exponential: true, Seed: *execSeed,
		})
		<-ctx.Done()
		_ = executor.Close()
	}
}

// serve serves h on l until ctx ends. It exits with 1 if serving fails before.
func serve(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
