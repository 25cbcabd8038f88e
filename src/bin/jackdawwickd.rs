//! Program of the daemon: reads the command line and runs until a signal stops it.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use jackdawwick::daemon::{self, DaemonHandle};
use jackdawwick::entry::run_entry;
use jackdawwick::logging;
use jackdawwick::options::{DaemonOptions, StartupAction, plan_startup};
use tokio::signal::unix::{SignalKind, signal};

/// Longest time for which the end of an entry host waits for its last log lines: connections
/// are closed 150 ms before the process would be killed.
const LOG_FLUSH_LIMIT: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    match plan_startup(std::env::args_os()) {
        StartupAction::Print(text) => print(&text),
        StartupAction::Fail { message, status } => fail(&message, status),
        StartupAction::Run(options) => run(*options),
        StartupAction::RunEntry(path) => run_on_platform(path),
    }
}

fn print(text: &str) -> ExitCode {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(message: &str, status: u8) -> ExitCode {
    // If standard error is closed too, the message cannot be reported anywhere.
    let _ = writeln!(std::io::stderr().lock(), "{message}");
    ExitCode::from(status)
}

fn run(options: DaemonOptions) -> ExitCode {
    if let Err(error) = logging::install(options.log) {
        return fail(&error.to_string(), 1);
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if options.host.worker_threads > 0 {
        builder.worker_threads(options.host.worker_threads);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start the runtime: {error}"), 1),
    };
    runtime.block_on(serve(options))
}

/// Runs the daemon as an entry host on the users' platform. It uses one thread, because
/// an entry host gets a fraction of one core.
fn run_on_platform(path: PathBuf) -> ExitCode {
    let flusher = match logging::install_bounded() {
        Ok(flusher) => flusher,
        Err(error) => return fail(&error.to_string(), 1),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start the runtime: {error}"), 1),
    };
    let ended = runtime.block_on(run_entry(path));
    flusher.flush(LOG_FLUSH_LIMIT);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string(), 1),
    }
}

async fn serve(options: DaemonOptions) -> ExitCode {
    let handle = match daemon::spawn(options).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string(), 1),
    };
    if let Err(error) = announce(&handle) {
        return fail(&format!("cannot write to standard output: {error}"), 1);
    }
    if let Err(error) = wait_for_signal().await {
        return fail(&format!("cannot listen for signals: {error}"), 1);
    }
    log::info!("shutting down: waiting for requests in flight");
    handle.shutdown().await;
    ExitCode::SUCCESS
}

/// Prints the addresses in use, since port 0 in the settings selects a free port.
fn announce(handle: &DaemonHandle) -> std::io::Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "callers {}", handle.caller_address())?;
    writeln!(stdout, "operators {}", handle.operator_address())?;
    if let Some(peers) = handle.peer_address() {
        writeln!(stdout, "peers {peers}")?;
    }
    writeln!(stdout, "ready")?;
    stdout.flush()
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
