// Command brassmux is one node: it serves clients until it is told to stop, by SIGTERM or an interrupt.
// SIGUSR1 has it print its counters.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"brassmux/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "brassmux:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		return err
	}
	logs := zap.NewProductionConfig()
	logs.Sampling = nil // each connection that ends leaves its line
	log, err := logs.Build(zap.WithCaller(false))
	if err != nil {
		return err
	}
	defer log.Sync()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	n.ApplyLimits()
	counters := make(chan os.Signal, 1)
	signal.Notify(counters, syscall.SIGUSR1)
	go func() {
		for range counters {
			log.Info("counters", n.Counters()...)
		}
	}()
	return n.Run(ctx)
}
