//! Memory for bodies, and connections of callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use jackdawwick::admission::{ConnectionDecision, ConnectionLimits, ConnectionTable};
use jackdawwick::buffer::{
    BufferBudget, BufferPlan, BufferTable, CollectError, GrowDecision, HolderId, SMALL_BYTES,
    collect_body, collect_limited,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMIT: usize = 1024 * 1024;
const SECOND: Duration = Duration::from_secs(1);
/// Longest pause in the growth of a body that keeps its memory.
const PAUSE: Duration = Duration::from_millis(1900);

/// A body whose frames are as given, without a length.
fn frames(
    parts: Vec<Bytes>,
) -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>>> {
    StreamBody::new(stream::iter(
        parts.into_iter().map(|part| Ok(Frame::data(part))),
    ))
}

fn bytes_of(length: usize) -> Bytes {
    Bytes::from(vec![b'a'; length])
}

/// Guards against small bodies that find no memory because large ones have used it up.
#[test]
fn small_bodies_get_memory_beside_large_ones() {
    let now = Instant::now();
    let mut table = BufferTable::new(LIMIT);
    let large = table.open(now);
    let granted = table.grow(large, LIMIT + SMALL_BYTES, now);
    assert_eq!(granted, GrowDecision::Granted);
    for _ in 0..1000 {
        let small = table.open(now);
        assert_eq!(table.grow(small, SMALL_BYTES, now), GrowDecision::Granted);
    }
    let other = table.open(now);
    let denied = table.grow(other, SMALL_BYTES + 1, now);
    assert_eq!(denied, GrowDecision::Denied);
}

/// Guards against bodies that never end and keep everybody else's memory, and against the
/// end of those that make progress or are in use.
#[test]
fn the_body_that_has_paused_longest_makes_way() {
    let start = Instant::now();
    let mut table = BufferTable::new(LIMIT);
    let part = LIMIT / 4 + SMALL_BYTES;
    let bodies: Vec<HolderId> = (0..4).map(|_| table.open(start)).collect();
    for body in &bodies {
        assert_eq!(table.grow(*body, part, start), GrowDecision::Granted);
    }
    assert!(table.complete(bodies[0]));
    let later = start + SECOND;
    assert_eq!(table.grow(bodies[1], part, later), GrowDecision::Granted);
    let new = table.open(later);
    assert_eq!(table.grow(new, part, later), GrowDecision::Denied);
    let now = start + 2 * SECOND;
    let evicted = table.grow(new, part, now);
    assert_eq!(evicted, GrowDecision::Evict(bodies[2]));
    assert_eq!(table.grow(new, part, now), GrowDecision::Wait);
    assert!(!table.complete(bodies[2]));
    table.close(bodies[2]);
    assert_eq!(table.grow(new, part, now), GrowDecision::Granted);
    table.complete(new);
    table.close(bodies[3]);
    let mut denied = table.clone();
    let last = denied.open(now);
    assert_eq!(denied.grow(last, part, now), GrowDecision::Granted);
    let another = denied.open(now);
    assert_eq!(denied.grow(another, part, now), GrowDecision::Denied);
}

/// Guards against a body of which nothing that others hold would be enough, and which evicts
/// them all the same.
#[test]
fn a_body_beyond_all_memory_evicts_nobody() {
    let start = Instant::now();
    let mut table = BufferTable::new(LIMIT);
    let body = table.open(start);
    table.grow(body, LIMIT, start);
    let huge = table.open(start);
    let denied = table.grow(huge, 2 * LIMIT, start + 10 * SECOND);
    assert_eq!(denied, GrowDecision::Denied);
    assert!(table.complete(body));
}

/// What happens to one of a few bodies.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Grow(usize, usize),
    Complete(usize),
    Close(usize),
    Wait(Duration),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Open),
        6 => (0..8_usize, 0..LIMIT).prop_map(|(body, bytes)| Step::Grow(body, bytes)),
        2 => (0..8_usize).prop_map(Step::Complete),
        3 => (0..8_usize).prop_map(Step::Close),
        2 => (0..4000_u64).prop_map(|millis| Step::Wait(Duration::from_millis(millis))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(71),
        ..ProptestConfig::default()
    })]

    /// Guards against memory that is charged twice or never returned, in any order of events.
    #[test]
    fn charges_stay_under_the_limit_and_are_all_returned(
        steps in prop::collection::vec(any_step(), 1..200)
    ) {
        let mut now = Instant::now();
        let mut table = BufferTable::new(LIMIT);
        // Each body, when it last grew, and whether it is complete.
        let mut bodies: Vec<(HolderId, Instant, bool)> = Vec::new();
        for step in steps {
            match step {
                Step::Open => bodies.push((table.open(now), now, false)),
                Step::Grow(index, bytes) if index < bodies.len() => {
                    match table.grow(bodies[index].0, bytes, now) {
                        GrowDecision::Granted => bodies[index].1 = now,
                        GrowDecision::Evict(id) => {
                            let evicted = bodies.iter().find(|body| body.0 == id);
                            let &(_, grown, complete) = evicted.expect("an open body");
                            prop_assert!(!complete);
                            prop_assert!(now - grown >= PAUSE);
                        }
                        GrowDecision::Wait | GrowDecision::Denied => {}
                    }
                }
                Step::Complete(index) if index < bodies.len() => {
                    bodies[index].2 |= table.complete(bodies[index].0);
                }
                Step::Close(index) if index < bodies.len() => {
                    table.close(bodies.swap_remove(index).0);
                }
                Step::Wait(time) => now += time,
                Step::Grow(..) | Step::Complete(_) | Step::Close(_) => {}
            }
            prop_assert!(table.charged() <= LIMIT);
        }
        for (body, ..) in bodies {
            table.close(body);
        }
        prop_assert_eq!(table.charged(), 0);
    }
}

/// Guards against a body of tiny frames, each of which keeps its read buffer.
#[tokio::test]
async fn frames_are_not_kept() {
    let read_buffer = bytes_of(8192);
    let parts = (0..1000).map(|at| read_buffer.slice(at..=at)).collect();
    drop(read_buffer);
    let budget = BufferBudget::new(LIMIT);
    let body = collect_body(frames(parts), LIMIT, budget.open()).await;
    assert_eq!(body.expect("a body").len(), 1000);
}

/// Guards against bytes that are lost, repeated or out of order where one block ends.
#[tokio::test]
async fn a_body_in_blocks_holds_the_bytes_that_arrived() {
    for length in [0, 1, 4096, 4097, 16_384, 16_385, 81_920, 81_921, 300_000] {
        let bytes = (0..length).map(|at| (at % 251) as u8).collect::<Vec<_>>();
        for piece in [1, 1000, 100_000] {
            let parts = bytes.chunks(piece).map(Bytes::copy_from_slice);
            let budget = BufferBudget::new(LIMIT);
            let body = collect_body(frames(parts.collect()), LIMIT, budget.open());
            let body = body.await.expect("a body");
            assert_eq!(body.len(), length);
            assert!(length.saturating_sub(SMALL_BYTES) <= budget.charged());
            assert_eq!(body.parts().collect::<Vec<_>>().concat(), bytes);
            assert_eq!(body.size_hint().exact(), Some(length as u64));
            let sent = body.clone().collect().await.expect("frames").to_bytes();
            assert_eq!(sent, bytes);
            assert_eq!(body.into_bytes(), bytes);
            let announced = Full::new(Bytes::from(bytes.clone()));
            let exact = collect_body(announced, LIMIT, budget.open()).await;
            let exact = exact.expect("a body");
            assert_eq!(exact.into_bytes(), bytes);
            drop(sent);
            assert_eq!(budget.charged(), 0);
        }
    }
}

/// Guards against memory that is returned while a clone of the body is in use, or never.
#[tokio::test]
async fn memory_is_returned_with_the_last_clone() {
    let budget = BufferBudget::new(LIMIT);
    let body = collect_body(Full::new(bytes_of(LIMIT / 2)), LIMIT, budget.open()).await;
    let body = body.expect("a body");
    assert_eq!(budget.charged(), LIMIT / 2 - SMALL_BYTES);
    let mut clone = body.clone();
    drop(body);
    assert_eq!(budget.charged(), LIMIT / 2 - SMALL_BYTES);
    let sent = clone.frame().await.expect("a block");
    drop(clone);
    assert_eq!(budget.charged(), LIMIT / 2 - SMALL_BYTES);
    drop(sent);
    assert_eq!(budget.charged(), 0);
}

/// Guards against a body over its limit of which a part is held, and against one that is refused
/// although it fits.
#[tokio::test]
async fn lengths_are_checked_before_anything_is_held() {
    let budget = BufferBudget::new(LIMIT);
    let long = collect_body(Full::new(bytes_of(1001)), 1000, budget.open()).await;
    assert!(matches!(long, Err(CollectError::TooLong)));
    let parts = vec![bytes_of(600), bytes_of(401)];
    let sent = collect_limited(frames(parts.clone()), 1000).await;
    assert!(matches!(sent, Err(CollectError::TooLong)));
    let whole = collect_limited(frames(parts), 1001).await;
    assert_eq!(whole.expect("a body").len(), 1001);
    let denied = collect_body(Full::new(bytes_of(2 * LIMIT)), 4 * LIMIT, budget.open()).await;
    assert!(matches!(denied, Err(CollectError::Denied)));
    assert_eq!(budget.charged(), 0);
}

/// Guards against a body that waits for its peer and keeps memory that another one was promised.
#[tokio::test]
async fn an_evicted_body_ends_and_the_other_one_goes_on() {
    let budget = BufferBudget::new(LIMIT);
    let parts = stream::iter([Ok::<_, std::io::Error>(Frame::data(bytes_of(LIMIT)))]);
    let stalled = StreamBody::new(futures::StreamExt::chain(parts, stream::pending()));
    let stalled = tokio::spawn(collect_body(Box::pin(stalled), 2 * LIMIT, budget.open()));
    tokio::task::yield_now().await;
    tokio::time::sleep(2 * SECOND).await;
    let other = collect_body(Full::new(bytes_of(LIMIT)), LIMIT, budget.open()).await;
    assert_eq!(other.expect("a body").len(), LIMIT);
    let evicted = stalled.await.expect("no panic");
    assert!(matches!(evicted, Err(CollectError::Evicted)));
}

/// Guards against a host that may hold more than it has: the parts of the plan together.
#[test]
fn the_plan_leaves_memory_and_descriptors_for_the_rest() {
    for (memory, descriptors) in [(64_u64 << 20, 256), (160 << 20, 4100), (260 << 20, 4100)] {
        let plan = BufferPlan::divide(memory, descriptors);
        let parts = plan.request_bytes + plan.response_bytes + plan.head_bytes;
        assert!(parts as u64 <= memory * 3 / 5);
        // A connection to a target for each caller.
        assert!(2 * plan.connections < descriptors - 200);
        let heads = plan.caller_connections(32 * 1024).waiting * 32 * 1024;
        assert!(heads <= plan.head_bytes);
    }
    let usual = BufferPlan::default();
    assert!(usual.request_bytes > 4 * 1024 * 1024 && usual.connections > 1000);
}

/// Guards against connections that are closed under a request, or as soon as they are open, and
/// against ones that stay although others need their place.
#[test]
fn the_connection_that_has_waited_longest_makes_way() {
    const LIMITS: ConnectionLimits = ConnectionLimits {
        open: 3,
        waiting: 3,
    };
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    let opened = |decision| match decision {
        ConnectionDecision::Opened(id) => id,
        decision => panic!("{decision:?}"),
    };
    let first = opened(table.open(LIMITS, start));
    let second = opened(table.open(LIMITS, start));
    let third = opened(table.open(LIMITS, start + SECOND));
    assert_eq!(
        table.open(LIMITS, start + SECOND / 2),
        ConnectionDecision::Refused
    );
    table.observe_request(first);
    let replaced = table.open(LIMITS, start + SECOND);
    assert!(matches!(
        replaced,
        ConnectionDecision::Replaced { closed, .. } if closed == second
    ));
    // The first one waits again, for less time than the third one.
    table.observe_wait(first, start + 2 * SECOND);
    let replaced = table.open(LIMITS, start + 2 * SECOND);
    let ConnectionDecision::Replaced { closed, opened } = replaced else {
        panic!("{replaced:?}");
    };
    assert!(closed == third || closed < opened);
    table.close(first);
    table.close(first);
    assert_eq!(table.len(), 2);
    table.observe_wait(first, start);
    assert_eq!(table.len(), 2);
}

/// Guards against heads that never end and together use the memory up, and against callers that
/// find no place because many others are served.
#[test]
fn only_waiting_connections_count_against_the_memory_for_heads() {
    const LIMITS: ConnectionLimits = ConnectionLimits {
        open: 100,
        waiting: 2,
    };
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    for served in 0..50 {
        let opened = ConnectionDecision::Opened(served);
        assert_eq!(table.open(LIMITS, start), opened);
        table.observe_request(served);
    }
    for _ in 0..2 {
        let opened = table.open(LIMITS, start);
        assert!(matches!(opened, ConnectionDecision::Opened(_)));
    }
    assert_eq!(table.open(LIMITS, start), ConnectionDecision::Refused);
    let later = table.open(LIMITS, start + SECOND);
    assert!(matches!(
        later,
        ConnectionDecision::Replaced { closed: 50, .. }
    ));
}

/// Guards against a request that is served although its connection has made way and is closed
/// under it.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_not_served() {
    const LIMITS: ConnectionLimits = ConnectionLimits {
        open: 1,
        waiting: 1,
    };
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    assert_eq!(table.open(LIMITS, start), ConnectionDecision::Opened(0));
    let replaced = table.open(LIMITS, start + SECOND);
    let expected = ConnectionDecision::Replaced {
        opened: 1,
        closed: 0,
    };
    assert_eq!(replaced, expected);
    table.observe_wait(0, start + SECOND);
    assert!(!table.observe_request(0));
    assert!(table.observe_request(1));
}
