//! Command-line handling that the three stand-in programs share.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Creates a command with the arguments that every stand-in accepts.
pub fn base_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("name").long("name").default_value(name))
}

/// Creates an argument that holds a whole number.
pub fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Returns the value of a [`number_arg`].
pub fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

/// Returns the value of a [`number_arg`] as a count.
pub fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(matches, name)).unwrap_or(usize::MAX)
}

/// Returns the value of a [`number_arg`] in microseconds.
pub fn micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(number(matches, name))
}

/// Returns the value of a [`number_arg`] in milliseconds.
pub fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name))
}

/// Returns the value of a text argument.
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns the address given by `--listen`.
pub fn listen_addr(matches: &ArgMatches) -> SocketAddr {
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    matches.get_one("listen").copied().unwrap_or(fallback)
}

/// Prints the address on standard output, which tells the parent process that the
/// stand-in is ready.
pub fn announce(addr: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening {addr}")?;
    stdout.flush()
}
