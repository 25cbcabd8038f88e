//! Measures how long a change takes until it is in effect on every host. The test is
//! ignored by default: it prints times and asserts nothing about them.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::resources::{ResourceKey, ResourceKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::fleet::{Fleet, FleetLayout, StagePlan};
use standins::operator;
use standins::platform::{PlatformServer, PlatformSettings};
use support::TestResult;
use support::forwarder::{LinkState, TestLink};
use support::hosts::{TestHost, organisation};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn measure_rollout_time_on_eight_hosts() -> TestResult {
    let layout = FleetLayout::franchise();
    let one_engine = |stage: &StagePlan| StagePlan {
        engines: stage.engines[..1].to_vec(),
        ..stage.clone()
    };
    let layout = FleetLayout {
        stages: layout.stages.iter().map(one_engine).collect(),
        ..layout
    };
    let fleet = Fleet::start(layout).await?;
    let mut random = StdRng::seed_from_u64(5);
    let (mut accepted_times, mut applied_times) = (Vec::new(), Vec::new());
    for round in 1..=50 {
        let host = fleet.daemons[random.random_range(0..fleet.daemons.len())].operators;
        let began = Instant::now();
        let version = operator::declare_all(host, &[organisation("measured", round)]).await?;
        accepted_times.push(began.elapsed());
        fleet.wait_until_applied(version).await?;
        applied_times.push(began.elapsed());
    }
    print_times("accepted", accepted_times);
    print_times("in force on 8 hosts", applied_times);

    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::bind(any_port, PlatformSettings::default()).await?;
    let desk = ResourceKey::new(ResourceKind::Organisation, "desk");
    let link = TestLink::bind().await?;
    link.forward_to(platform.local_addr());
    let cut = TestHost::start("cut", "anfa", link.address, &[]).await?;
    let near = TestHost::start("near", "sidi", platform.local_addr(), &[&cut]).await?;
    let first = near.declare("desk", 1).await?;
    cut.wait_until_serving(&desk, first).await?;
    link.set(LinkState::Cut);
    let mut by_peers = Vec::new();
    for round in 2..22 {
        let began = Instant::now();
        let version = near.declare("desk", round).await?;
        cut.wait_until_serving(&desk, version).await?;
        by_peers.push(began.elapsed());
    }
    print_times("in force in a zone that has only its peers", by_peers);
    Ok(())
}

#[expect(clippy::print_stdout, reason = "the result of a measurement")]
fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let (count, max) = (times.len(), times[times.len() - 1]);
    println!(
        "{what}: {count} changes, median {:?}, max {max:?}",
        times[count / 2]
    );
}
