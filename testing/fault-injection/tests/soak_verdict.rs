//! What the soak's judge makes of requests that SIGKILL finds unanswered, and of clients that leave.
#![cfg(test)]

use std::time::Duration;

use heathward_fakes::ReceivedRequest;
use heathward_fault_injection::shutdown_soak::clients::{Asked, Came};
use heathward_fault_injection::shutdown_soak::plan::Stall;
use heathward_fault_injection::shutdown_soak::verdict::{Exit, Observed};
use heathward_fault_injection::shutdown_soak::{Breach, Outcome, Plan};
use rstest::rstest;
use tokio::time::Instant;

const ID: u32 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A plan whose process is stopped just before SIGKILL.
fn plan_with_late_stall() -> Plan {
    let mut plan = Plan::draw(1);
    plan.stalls = vec![Stall { from_ms: plan.kill_ms() - 120, length_ms: 100 }];
    plan
}

fn seen(at: Instant) -> ReceivedRequest {
    ReceivedRequest {
        node: 0,
        head: String::new(),
        call: format!("{ID:016x}"),
        body: Vec::new(),
        at,
        open_attempts: 1,
    }
}

/// Guards against a stop that excuses what SIGKILL finds unanswered, where it may excuse the late exit alone;
/// and against requests that are held against a process that was held up for longer than the platform does.
#[rstest]
#[case::found_unanswered(100, -50, 1, 120, vec![Breach::Unanswered(ID)])]
#[case::ended_before(100, -50, -20, 120, vec![])]
#[case::written_after_the_kill(100, 1, 2, 120, vec![])]
#[case::held_up_as_long_as_allowed(150, -50, 1, 120, vec![Breach::Unanswered(ID)])]
#[case::held_up_for_longer(151, -50, 1, 120, vec![])]
#[case::no_late_stop(0, -50, -20, 400, vec![Breach::Killed])]
fn a_late_stop_excuses_the_exit_alone(
    #[case] held_up_ms: u64,
    #[case] written_ms_after_kill: i64,
    #[case] ended_ms_after_kill: i64,
    #[case] stopped_ms_before_kill: u64,
    #[case] expected: Vec<Breach>,
) {
    let mut plan = plan_with_late_stall();
    plan.stalls[0].from_ms = plan.kill_ms() - stopped_ms_before_kill;
    let signalled = Instant::now();
    let after_kill = |offset: i64| signalled + ms(plan.kill_ms().saturating_add_signed(offset));
    let asked = Asked {
        id: ID,
        is_first: false,
        at: after_kill(written_ms_after_kill),
        came: Came::Reset,
        came_at: after_kill(ended_ms_after_kill),
    };
    let exit = Exit::Killed { at: after_kill(0), held_up: ms(held_up_ms) };
    let observed =
        Observed { signalled, asked: vec![asked], seen: Vec::new(), exit, next_ready: Some(ms(5)) };
    assert_eq!(Outcome::judge(plan, &observed).breaches, expected);
}

/// Guards against an attempt that begins for a client that has left, over 0.1 s later and the slack on
/// sockets.
#[rstest]
#[case::in_time(150, vec![])]
#[case::late(151, vec![Breach::SentAfterLeaving { id: ID, late_ms: 151 }])]
fn nothing_begins_for_a_client_that_has_left(#[case] late_ms: u64, #[case] expected: Vec<Breach>) {
    let (plan, signalled) = (plan_with_late_stall(), Instant::now());
    let left_at = signalled + ms(300);
    let asked = Asked { id: ID, is_first: false, at: signalled, came: Came::Left, came_at: left_at };
    let observed = Observed {
        signalled,
        asked: vec![asked],
        seen: vec![seen(left_at + ms(late_ms))],
        exit: Exit::ByItself { after: ms(1_600), code: Some(0) },
        next_ready: Some(ms(5)),
    };
    assert_eq!(Outcome::judge(plan, &observed).breaches, expected);
}
