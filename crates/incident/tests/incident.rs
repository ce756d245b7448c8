//! Reconstruction from records written here: clocks that differ, losses, and each rule broken on purpose.
#![cfg(test)]

use heathward_event_log::read::SegmentItem;
use heathward_event_log::{
    AttemptEnd, Event, Gap, GapCause, Lifecycle, NodeSecond, NodeState, Record, StateChangeCause,
};
use heathward_fakes::told::{Told, MS, NINE};
use heathward_incident::audit::Rule;
use heathward_incident::findings::What;
use heathward_incident::{Ending, Fold, Incident, Missing, Window};
use rstest::rstest;

fn incident(told: &[Told]) -> Incident {
    Incident::of(&told.iter().map(Told::fold).collect::<Vec<_>>(), Window::ALL)
}

fn texts(incident: &Incident, what: What) -> Vec<&str> {
    incident.findings.iter().filter(|f| f.what == what).map(|f| f.text.as_str()).collect()
}

/// Three schedulers, two of them with clocks that are wrong, see a drain in one version of the list.
fn drained() -> Vec<Told> {
    let mut all = Vec::new();
    for (name, begun, ahead, late) in [("n0", 0, 0, 3), ("n1", 500, 300, 9), ("n2", 900, -2000, 6)] {
        let mut told = Told::new(name, begun, ahead);
        told.list(2000 + late, 7, "s0", NodeState::InService);
        told.node(2000 + late, "s0", NodeState::InService, StateChangeCause::EndpointUpdate(7));
        told.list(5000 + late, 8, "s0", NodeState::Draining);
        told.node(5000 + late, "s0", NodeState::Draining, StateChangeCause::EndpointUpdate(8));
        told.list(8000 + late, 9, "s0", NodeState::InService);
        told.node(8000 + late, "s0", NodeState::InService, StateChangeCause::EndpointUpdate(9));
        (0..9).for_each(|second| told.class(1000 * (second + 1), 10, 0));
        all.push(told.end(11_000));
    }
    all
}

#[test]
fn clocks_that_are_wrong_are_brought_together_by_what_all_have_seen() {
    let incident = incident(&drained());
    assert!(!incident.contradictory);
    let ahead: Vec<i64> = incident.boots.iter().map(|boot| boot.ahead / 1000).collect();
    let by_name = |name: &str| ahead[incident.boots.iter().position(|b| b.scheduler == name).unwrap()];
    assert!(
        by_name("n0") == 0 && (by_name("n1") - 300).abs() < 10 && (by_name("n2") + 2000).abs() < 10,
        "{ahead:?}"
    );
    let drains = texts(&incident, What::Draining);
    assert_eq!(
        drains,
        vec![
            "s0 drained (list version 8) from 09:00:05.003 to 09:00:08.003; seen by n0, n1, n2 within 0 ms."
        ]
    );
    assert_eq!(texts(&incident, What::ClockOff).len(), 2);
    let taken: u64 = incident.classes[0].series.total().taken;
    assert_eq!(taken, 270);
}

/// A scheduler that stops, as discovery is silent, says so with since when and why.
#[test]
fn a_scheduler_that_sent_nothing_is_found_with_the_cause() {
    let mut told = Told::new("n0", 0, 0);
    told.put(2000, Event::Lifecycle(Lifecycle::LeaseExpired(6_000 * MS)));
    told.put(4500, Event::Lifecycle(Lifecycle::LeaseRenewed));
    told.put(7000, Event::Lifecycle(Lifecycle::LeaseExpired(6_100 * MS)));
    let incident = incident(&[told.end(11_000)]);
    assert_eq!(
        texts(&incident, What::Stopped),
        [
            "n0 sent nothing from 09:00:02.000 to 09:00:04.500: discovery had been silent for 6000 ms.",
            "n0 sent nothing from 09:00:07.000 on: discovery had been silent for 6100 ms."
        ]
    );
}

/// The files of many schedulers come in any order.
#[test]
fn the_order_of_files_does_not_matter() {
    let mut told = drained();
    let expected = incident(&told).findings;
    told.reverse();
    assert_eq!(incident(&told).findings, expected);
    told.swap(0, 1);
    assert_eq!(incident(&told).findings, expected);
}

/// A wall clock that steps back by 2 s in the middle does not move a boot's events against each other.
#[test]
fn a_step_of_the_clock_is_told_and_moves_nothing() {
    let mut told = drained();
    for item in told[0].items.iter_mut().skip(8) {
        if let SegmentItem::Record(record) = item {
            record.time.wall_clock -= 2_000_000;
        }
    }
    let incident = incident(&told);
    let steps = texts(&incident, What::ClockStep);
    assert!(steps.len() == 1 && steps[0].starts_with("n0's clock stepped back by 2000 ms"), "{steps:?}");
    assert_eq!(texts(&incident, What::Draining).len(), 1);
    assert!(
        texts(&incident, What::Draining)[0].contains("09:00:05.00"),
        "{:?}",
        texts(&incident, What::Draining)
    );
}

#[test]
fn with_nothing_in_common_the_report_says_so() {
    let far = Told::new("n1", 100, 700).end(3000);
    let near = Told::new("n0", 0, 0).end(3000);
    let incident = incident(&[far, near]);
    assert_ne!(incident.boots[0].offset.group, incident.boots[1].offset.group);
    let known = heathward_incident::findings::known_to(&incident, 1);
    assert!(known.contains("nothing connects it"), "{known}");
}

/// A killed scheduler ends before the next of its name begins, whatever its clock says, and what it did after
/// its last word is not known.
#[test]
fn a_killed_scheduler_leaves_a_hole_up_to_its_return() {
    let mut killed = Told::new("n0", 0, 0);
    (0..3).for_each(|second| killed.class(1000 * second, 10, 0));
    // By its own clock it is back before it was gone.
    let back = Told::new("n0", 4000, -1500).end(6000);
    let incident = incident(&[back, killed]);
    let [first, second] = &incident.boots[..] else { panic!("{:?}", incident.boots) };
    assert!(first.ending == Ending::Cut && first.to <= second.from, "{:?}", incident.boots);
    let told = texts(&incident, What::Killed);
    assert!(told.len() == 1 && told[0].starts_with("n0 ended without a last word"), "{told:?}");
    assert!(incident.at_least(first.to, first.to + 1) && !incident.at_least(0, first.to - 1));
}

#[rstest]
#[case::told(Some(GapCause::DiskFailed), Missing::Disk)]
#[case::queue(Some(GapCause::QueueFull), Missing::Queue)]
#[case::untold(None, Missing::Lost)]
fn what_is_missing_stays_missing(#[case] cause: Option<GapCause>, #[case] why: Missing) {
    let mut told = Told::new("n0", 0, 0);
    told.class(0, 10, 0);
    told.seq += 5;
    if let Some(cause) = cause {
        let (from, to) = (told.stamp(2000), told.stamp(4000));
        let event = Event::Gap(Gap { events: 5, first: from, last: to, cause });
        told.items.push(SegmentItem::Record(Record { sequence: told.seq, time: to, event }));
    }
    told.class(4000, 10, 0);
    let incident = incident(&[told.end(6000)]);
    let [hole] = incident.holes[..] else { panic!("{:?}", incident.holes) };
    assert_eq!((hole.events, hole.why), (5, why));
    let second = |at: u64| incident.at_least(NINE + at * MS, NINE + (at + 1000) * MS);
    assert!(second(3000) && !second(6000));
    // No bin is made up between the two seconds.
    assert_eq!(incident.classes[0].series.iter().count(), 2);
}

#[test]
fn damage_is_a_hole_of_as_many_events_as_numbers_are_missing() {
    let mut told = Told::new("n0", 0, 0);
    (0..5).for_each(|second| told.class(1000 * second, 10, 0));
    let mut told = told.end(6000);
    told.items.splice(4..6, [SegmentItem::Damaged { from: 100, to: 300 }]);
    let incident = incident(&[told]);
    assert_eq!(
        incident.holes.iter().map(|h| (h.events, h.why)).collect::<Vec<_>>(),
        vec![(2, Missing::Damage)]
    );
}

/// What is told of a scheduler, in ms after nine.
#[derive(Clone, Copy)]
enum Step {
    /// s0 is treated so from then on.
    Node(u64, NodeState),
    /// A request of a class that came at 1000: its attempts `(node, sent, ended, how)`, its answer's time.
    Request(u16, &'static [(&'static str, u64, u64, AttemptEnd)], u64),
    /// A cold s0 gets so many units within a second.
    Cold(u32),
}
use AttemptEnd::{Rejected, Reset, Served, TimedOut};
use NodeState::{Draining, InService, Suspended};
use Step::{Cold, Node, Request};

/// What each rule's breach looks like; the same without the breach is sound.
#[rstest]
#[case::in_turn(
    Rule::OneAttempt,
    0,
    &[Request(0, &[("s0", 1000, 1100, Rejected), ("s1", 1100, 1200, Served)], 1200)],
)]
#[case::at_once(
    Rule::OneAttempt,
    1,
    &[Request(0, &[("s0", 1000, 1150, Rejected), ("s1", 1100, 1200, Served)], 1200)],
)]
#[case::twice(Rule::OneAnswer, 1, &[Request(0, &[], 1200), Request(0, &[], 1300)])]
#[case::late(Rule::Deadlines, 1, &[Request(0, &[], 2100)])]
#[case::on_time(Rule::Deadlines, 0, &[Request(0, &[], 2005)])]
#[case::drained(Rule::Drains, 1, &[Node(1000, Draining), Request(0, &[("s0", 1260, 1300, Served)], 1300)])]
#[case::in_grace(Rule::Drains, 0, &[Node(1000, Draining), Request(0, &[("s0", 1240, 1300, Served)], 1300)])]
#[case::told_later(
    Rule::Drains,
    1,
    &[Node(1000, Suspended), Node(1500, InService), Request(0, &[("s0", 1300, 1900, Served)], 1900)],
)]
#[case::back_again(
    Rule::Drains,
    0,
    &[Node(1000, Suspended), Node(1500, InService), Request(0, &[("s0", 1600, 1900, Served)], 1900)],
)]
#[case::keyed_too_late(
    Rule::KeyedRepeats,
    1,
    &[Request(1, &[("s0", 1000, 1500, TimedOut), ("s0", 3600, 3700, Served)], 3700)],
)]
#[case::keyed_elsewhere(
    Rule::KeyedRepeats,
    1,
    &[Request(1, &[("s0", 1000, 1100, Reset), ("s1", 1200, 1300, Served)], 1300)],
)]
#[case::keyed_never_ran(
    Rule::KeyedRepeats,
    0,
    &[Request(1, &[("s0", 1000, 1100, Rejected), ("s1", 1200, 1300, Served)], 1300)],
)]
#[case::cold(Rule::ColdNodes, 1, &[Cold(2000)])]
#[case::cold_but_bearable(Rule::ColdNodes, 0, &[Cold(40)])]
fn the_audit_finds_what_breaks_a_rule(#[case] rule: Rule, #[case] broken: u64, #[case] steps: &[Step]) {
    let mut told = Told::new("n0", 0, 0);
    told.list(10, 1, "s0", InService);
    told.list(11, 2, "s1", InService);
    for step in steps {
        match *step {
            Node(at, state) => told.node(at, "s0", state, StateChangeCause::EndpointUpdate(1)),
            Request(class, attempts, answered) => told.request(1, class, 1000, attempts, answered),
            Cold(units) => cold(&mut told, units),
        }
    }
    let incident = incident(&[told.end(9000)]);
    let checked = incident.audit.of(rule);
    assert!(checked.looked > 0, "{checked:?}");
    assert_eq!(checked.broken, broken, "{checked:?}");
    let told = incident.findings.iter().filter(|f| f.what == What::Breach && f.subject == rule.words());
    assert_eq!(told.count() as u64, broken);
}

/// A node that came back a second ago gets so many units within a second.
fn cold(told: &mut Told, units: u32) {
    told.node(1000, "s0", NodeState::SlowStart(NINE + 1000 * MS), StateChangeCause::EndpointUpdate(2));
    let (from, span) = (told.mono(2000), 1000 * MS);
    let second = NodeSecond {
        start: from,
        duration: span,
        node: "s0".into(),
        sent: units / 2,
        slow_start_units: units,
        ..NodeSecond::default()
    };
    told.put(3000, Event::NodeSecond(second));
}

#[test]
fn a_class_that_suffers_is_told_with_its_figures() {
    let mut told = Told::new("n0", 0, 0);
    for second in 0..10 {
        let late = if (3..6).contains(&second) { 6 } else { 0 };
        told.class(1000 * second, 10, late);
    }
    let incident = incident(&[told.end(11_000)]);
    let told = texts(&incident, What::Class);
    assert_eq!(
        told,
        vec![
            "consulta: 62% served in aim from 09:00:03.000 to 09:00:06.000 (worst 62%): 18 late, 0 refused, \
             0 failed."
        ]
    );
}

/// A report of ten minutes out of a day holds these ten minutes only.
#[test]
fn a_window_cuts_off_what_lies_outside() {
    let folds: Vec<Fold> = drained().iter().map(Told::fold).collect();
    let window = Window { from: NINE + 4000 * MS, to: NINE + 6000 * MS };
    let incident = Incident::of(&folds, window);
    assert_eq!(incident.window, window);
    assert!(incident.findings.iter().all(|f| f.at < window.to && f.until.is_none_or(|to| to >= window.from)));
    assert_eq!(texts(&incident, What::Draining).len(), 1);
    assert_eq!(incident.classes[0].series.total().taken, 60);
}
