//! Helpers of the tests of configuration.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use jackdawwick::ids::LogOffset;
use jackdawwick::platform::client::{PlatformClient, PlatformTimeouts};
use jackdawwick::records::{DECLARATION_STREAM, DeclarationBody, JUDGING_RULES, LogRecord};
use jackdawwick::replay::DeclarationTable;
use jackdawwick::resources::{ResourceKey, ResourceKind};
use standins::operator;
use standins::platform::{PlatformServer, PlatformSettings};

use super::hosts::TestHost;
use super::{TestError, TestResult};

/// Metric that counts checkpoints that differ from the state of a host.
pub const DIFFERING_CHECKPOINTS: &str = "jackdawwick_differing_checkpoints_total";

pub type ChangeRecord = LogRecord<DeclarationBody>;

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn start_platform(retention: u64) -> Result<PlatformServer, TestError> {
    let settings = PlatformSettings {
        retention,
        ..PlatformSettings::default()
    };
    Ok(PlatformServer::bind(any_port(), settings).await?)
}

/// Starts three hosts in two zones that know each other.
pub async fn start_hosts(platform: SocketAddr) -> Result<[TestHost; 3], TestError> {
    let first = TestHost::start("entry-1", "vake", platform, &[]).await?;
    let second = TestHost::start("entry-2", "vake", platform, &[&first]).await?;
    let third = TestHost::start("entry-3", "didube", platform, &[&first, &second]).await?;
    Ok([first, second, third])
}

pub fn key(name: &str) -> ResourceKey {
    ResourceKey::new(ResourceKind::Organisation, name)
}

pub async fn wait_until_all_serve(
    hosts: &[TestHost],
    key: &ResourceKey,
    version: LogOffset,
) -> TestResult {
    for host in hosts {
        host.wait_until_serving(key, version).await?;
    }
    Ok(())
}

/// Appends to the log from outside all hosts, like a writer that was paused.
pub async fn append(platform: &PlatformServer, record: String) -> Result<LogOffset, TestError> {
    let timeouts = PlatformTimeouts {
        connect: Duration::from_secs(5),
        response: Duration::from_secs(5),
    };
    let client = PlatformClient::open(platform.local_addr(), timeouts);
    let response = client.append(DECLARATION_STREAM, vec![record]).await?;
    Ok(response.first_offset)
}

pub async fn metric(host: &TestHost, name: &str) -> Option<u64> {
    let reply = operator::operate(host.operators, Method::GET, "/metrics", Vec::new()).await;
    let text = String::from_utf8(reply.ok()?.body.to_vec()).ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Returns the state at the end of the log, and a wrong one that lacks the last record.
pub fn correct_and_wrong_tables(
    platform: &PlatformServer,
) -> Result<[DeclarationTable; 2], TestError> {
    let mut correct = DeclarationTable::default();
    for record in platform.record(DECLARATION_STREAM) {
        correct.apply_raw(record.offset, &record.body)?;
    }
    let mut wrong = DeclarationTable::default();
    for record in platform.record(DECLARATION_STREAM) {
        let is_last = record.offset + 1 == correct.applied();
        let body = if is_last { "noise" } else { &record.body };
        wrong.apply_raw(record.offset, body)?;
    }
    Ok([correct, wrong])
}

/// Returns a checkpoint record with the state of a table, as text.
pub fn checkpoint(id: &str, table: &DeclarationTable) -> Result<String, TestError> {
    let record = ChangeRecord {
        id: id.into(),
        rules: JUDGING_RULES,
        writer: "paused".into(),
        incarnation: 1,
        body: DeclarationBody::Checkpoint(table.checkpoint()),
    };
    Ok(serde_json::to_string(&record)?)
}
