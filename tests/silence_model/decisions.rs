//! The decision about one silent request.

use std::time::Duration;

use jackdawwick::silence::{
    SilenceCause, SilenceDecision, SilenceLimits, SilentRequest, WaitReason, decide,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: SilenceLimits = SilenceLimits {
    unresponsive: Duration::from_millis(1300),
    head: Duration::from_millis(2400),
};

const CAUSES: [SilenceCause; 6] = [
    SilenceCause::Working,
    SilenceCause::Unresponsive,
    SilenceCause::Unreachable,
    SilenceCause::Closing,
    SilenceCause::Stalled,
    SilenceCause::LostLink,
];

/// Returns a stream that has begun and may be repeated.
fn stream(cause: SilenceCause, silent_ms: u64) -> SilentRequest {
    SilentRequest {
        cause,
        silent: Duration::from_millis(silent_ms),
        has_begun: true,
        is_repeatable: true,
        has_attempts: true,
        is_hedged: false,
        is_poison: false,
        is_widespread: false,
    }
}

#[test]
fn each_cause_has_its_silence() {
    use SilenceCause::{Closing, LostLink, Stalled, Unreachable, Unresponsive, Working};
    use SilenceDecision::{Hedge, Wait};
    let no_fault = Wait(WaitReason::NoFault);
    let short = Wait(WaitReason::Short);
    // Before and after the limit of a target that stands still, and after that of the head.
    let table = [
        (Working, true, [no_fault, no_fault, no_fault]),
        (Working, false, [short, short, Hedge]),
        (Unresponsive, true, [short, Hedge, Hedge]),
        (Unresponsive, false, [short, Hedge, Hedge]),
        (Unreachable, true, [Hedge; 3]),
        (Unreachable, false, [Hedge; 3]),
        (Closing, true, [no_fault; 3]),
        (Closing, false, [no_fault; 3]),
        (Stalled, true, [Hedge; 3]),
        (Stalled, false, [Hedge; 3]),
        (LostLink, true, [Hedge; 3]),
        (LostLink, false, [Hedge; 3]),
    ];
    for (cause, has_begun, expected) in table {
        let decisions = [1299, 1300, 2400].map(|silent| {
            let request = stream(cause, silent);
            decide(
                SilentRequest {
                    has_begun,
                    ..request
                },
                LIMITS,
            )
        });
        assert_eq!(decisions, expected, "{cause:?}, begun: {has_begun}");
    }
}

#[test]
fn a_widespread_silence_holds_back_hedges_for_unresponsive_targets_only() {
    for cause in CAUSES {
        let alone = stream(cause, 2000);
        let spread = SilentRequest {
            is_widespread: true,
            ..alone
        };
        let expected = match cause {
            SilenceCause::Unresponsive => SilenceDecision::Wait(WaitReason::Widespread),
            _ => decide(alone, LIMITS),
        };
        assert_eq!(decide(spread, LIMITS), expected, "{cause:?}");
    }
}

#[test]
fn poison_ends_only_a_request_that_waits_for_a_later_engine() {
    for cause in CAUSES {
        let request = SilentRequest {
            is_poison: true,
            ..stream(cause, 2000)
        };
        let expected = match cause {
            SilenceCause::Stalled => SilenceDecision::End,
            _ => SilenceDecision::Wait(WaitReason::NoAttempt),
        };
        assert_eq!(decide(request, LIMITS), expected, "{cause:?}");
    }
}

#[test]
fn limits_of_streams_leave_an_attempt_time_before_the_caller_gives_up() {
    let ms = Duration::from_millis;
    let head = ms(960);
    let unresponsive = |aim, gap| SilenceLimits::of_stream(ms(aim), gap, head).unresponsive;
    assert_eq!(unresponsive(100, None), ms(1300));
    assert_eq!(unresponsive(400, Some(ms(150))), ms(1300));
    // Callers who wait longer do not make targets stand still for longer.
    assert_eq!(unresponsive(2000, None), ms(1500));
    assert_eq!(unresponsive(100, Some(ms(1000))), ms(1500));
    let response = SilenceLimits::of_response(ms(700));
    assert_eq!((response.unresponsive, response.head), (ms(700), ms(700)));
}

fn requests() -> impl Strategy<Value = SilentRequest> {
    let flags = prop::array::uniform6(any::<bool>());
    let causes = prop::sample::select(CAUSES.to_vec());
    (causes, 0..5000_u64, flags).prop_map(|(cause, silent_ms, flags)| {
        let [
            has_begun,
            is_repeatable,
            has_attempts,
            is_hedged,
            is_poison,
            is_widespread,
        ] = flags;
        SilentRequest {
            has_begun,
            is_repeatable,
            has_attempts,
            is_hedged,
            is_poison,
            is_widespread,
            ..stream(cause, silent_ms)
        }
    })
}

fn limits() -> impl Strategy<Value = SilenceLimits> {
    let ms = Duration::from_millis;
    let limits = (0..4000_u64, 0..4000_u64);
    limits.prop_map(move |(unresponsive, head)| SilenceLimits {
        unresponsive: ms(unresponsive),
        head: ms(head),
    })
}

/// How far a decision is from leaving the attempt alone.
fn rank(decision: SilenceDecision) -> u8 {
    match decision {
        SilenceDecision::Wait(_) => 0,
        SilenceDecision::Hedge => 1,
        SilenceDecision::End => 2,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: RngSeed::Fixed(56),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that is repeated although it may not be, or ended for a
    /// silence alone.
    #[test]
    fn nothing_ends_without_poison_and_nothing_is_hedged_that_may_not_be_repeated(
        request in requests(),
        limits in limits(),
    ) {
        let decision = decide(request, limits);
        if decision == SilenceDecision::End {
            prop_assert!(request.is_poison);
        }
        if decision == SilenceDecision::Hedge {
            prop_assert!(request.is_repeatable && request.has_attempts);
            prop_assert!(!request.is_hedged && !request.is_poison);
        }
    }

    /// Guards against an attempt that is held back because a silence lasts longer.
    #[test]
    fn a_longer_silence_never_takes_an_attempt_back(
        request in requests(),
        limits in limits(),
        more_ms in 0..3000_u64,
    ) {
        let longer = SilentRequest {
            silent: request.silent + Duration::from_millis(more_ms),
            ..request
        };
        prop_assert!(rank(decide(request, limits)) <= rank(decide(longer, limits)));
    }

    /// Guards against facts that speak against another attempt and bring one about.
    #[test]
    fn what_speaks_against_an_attempt_never_brings_one_about(
        request in requests(),
        limits in limits(),
    ) {
        let held_back = [
            SilentRequest { is_repeatable: false, ..request },
            SilentRequest { has_attempts: false, ..request },
            SilentRequest { is_hedged: true, ..request },
            SilentRequest { is_widespread: true, ..request },
        ];
        for held_back in held_back {
            let is_started = decide(held_back, limits) == SilenceDecision::Hedge;
            prop_assert!(!is_started || decide(request, limits) == SilenceDecision::Hedge);
        }
    }
}
