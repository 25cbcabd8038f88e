//! Runs the platform stand-in until it is killed.

use std::io;

use standins::command_line::{announce, base_command, listen_addr, millis, number, number_arg};
use standins::platform::{PlatformServer, PlatformSettings};

#[tokio::main]
async fn main() -> io::Result<()> {
    let command = base_command("platform", "Stand-in for the platform's log and host list")
        .arg(number_arg("retention", "100000").help("Records kept in each stream"))
        .arg(number_arg("hosts-delay-ms", "0").help("Delay of the host list"));
    let matches = command.get_matches();
    let settings = PlatformSettings {
        retention: number(&matches, "retention"),
        hosts_delay: millis(&matches, "hosts-delay-ms"),
        ..PlatformSettings::default()
    };
    let server = PlatformServer::bind(listen_addr(&matches), settings).await?;
    announce(server.local_addr())?;
    std::future::pending().await
}
