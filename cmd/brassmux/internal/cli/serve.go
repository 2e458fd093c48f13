package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"brassmux/internal/asynclog"
	"brassmux/node"
)

func newServeCommand(getenv func(string) string) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run one node until it is told to stop",
		Long: "serve runs one node by the configuration that LB_CONFIG names. SIGTERM or an interrupt stops it, " +
			"SIGHUP has\nit read its configuration again, SIGUSR1 prints its counters. LB_LOG names the log level.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return asCommandError(serve(getenv)) },
	}
}

// serve runs one node until a signal stops it.
func serve(getenv func(string) string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signals := make(chan os.Signal, 8)
	// Installed before anything else, because the default action of both signals ends the program.
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // a broken pipe to the log collector must not end the program
	cfg, err := node.Load(getenv)
	if err != nil {
		return err
	}
	log, lines, err := newLogger(getenv("LB_LOG"))
	if err != nil {
		return err
	}
	defer log.Sync()
	runningNode, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	runningNode.ApplyLimits()
	go handleSignals(signals, runningNode, getenv, log, lines)
	return runningNode.Run(ctx)
}

// handleSignals logs the counters on each SIGUSR1 and reloads the configuration on each SIGHUP.
func handleSignals(
	signals <-chan os.Signal, runningNode *node.Node, getenv func(string) string,
	log *zap.Logger, lines *asynclog.Writer,
) {
	for received := range signals {
		if received == syscall.SIGUSR1 {
			log.Info("counters", append(runningNode.Counters(), zap.Int64("log_lines_dropped", lines.Dropped()))...)
			continue
		}
		if err := reload(runningNode, getenv); err != nil {
			log.Error("the new configuration is rejected", zap.Error(err))
		}
	}
}

func reload(runningNode *node.Node, getenv func(string) string) error {
	cfg, err := node.LoadForReload(getenv)
	if err != nil {
		return err
	}
	return runningNode.Reload(cfg)
}

// newLogger returns a logger to standard error and the writer of its lines. An empty level selects the default.
func newLogger(level string) (*zap.Logger, *asynclog.Writer, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil // every ended connection must be logged
	if level != "" {
		parsed, err := zap.ParseAtomicLevel(level)
		if err != nil {
			return nil, nil, fmt.Errorf("LB_LOG: %w", err)
		}
		config.Level = parsed
	}
	lines := asynclog.New(os.Stderr, maxQueuedLines, formatDroppedLines)
	log, err := config.Build(zap.WithCaller(false), zap.WrapCore(func(zapcore.Core) zapcore.Core {
		return zapcore.NewCore(zapcore.NewJSONEncoder(config.EncoderConfig), lines, config.Level)
	}))
	return log, lines, err
}

// maxQueuedLines limits the log lines that are queued for the log collector to a few megabytes.
const maxQueuedLines = 8192

// formatDroppedLines returns the log line that reports the number of dropped lines.
func formatDroppedLines(dropped int64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","msg":"log lines were dropped","lines":%d}`+"\n", dropped)
}
