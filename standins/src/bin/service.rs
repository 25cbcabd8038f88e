//! Runs the service stand-in until it is killed.

use std::io;

use standins::command_line::{
    announce, base_command, count, listen_addr, micros, millis, number_arg, text,
};
use standins::service::{ServiceServer, ServiceSettings};

#[tokio::main]
async fn main() -> io::Result<()> {
    let command = base_command("service", "Stand-in for a plain service")
        .arg(number_arg("call-time-us", "0").help("Duration of one call"))
        .arg(number_arg("concurrency", "64").help("Calls that run at the same time"))
        .arg(number_arg("max-waiting", "1024").help("Calls that may wait"))
        .arg(number_arg("load-lag-ms", "100").help("Time between refreshes of the load report"))
        .arg(number_arg("record-cap", "1000000").help("Maximum number of recorded entries"));
    let matches = command.get_matches();
    let settings = ServiceSettings {
        name: text(&matches, "name").to_owned(),
        call_time: micros(&matches, "call-time-us"),
        concurrency: count(&matches, "concurrency"),
        max_waiting: count(&matches, "max-waiting"),
        load_lag: millis(&matches, "load-lag-ms"),
        record_cap: count(&matches, "record-cap"),
    };
    let server = ServiceServer::bind(listen_addr(&matches), settings).await?;
    announce(server.local_addr())?;
    std::future::pending().await
}
