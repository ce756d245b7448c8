//! The console as it looks, at 80×24 and without colour, and what its keys do.
#![cfg(test)]

use heathward_core::OperatorCommand;
use heathward_event_log::{
    AttemptEnd, ClassSecond, Event, Lifecycle, NodeSecond, NodeState, StateChangeCause,
};
use heathward_fakes::told::{Told, MS, NINE};
use heathward_incident::{Fold, Incident, Window};
use heathwardctl::console::{draw, Effect, Key, Mode, View};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use rstest::rstest;

/// Three schedulers and four nodes; s1 falls silent in the fourth second, s2 drains in the fifth, n2 is
/// killed in the sixth.
fn incident() -> Incident {
    let mut folds = Vec::new();
    for (number, name) in ["n0", "n1", "n2"].into_iter().enumerate() {
        let mut told = Told::new(name, 10 * number as u64, 0);
        for revision in 0..4 {
            let node = ["s0", "s1", "s2", "s3"][revision as usize];
            told.list(100 + revision, revision + 1, node, NodeState::InService);
            told.node(
                100 + revision,
                node,
                NodeState::InService,
                StateChangeCause::EndpointUpdate(revision + 1),
            );
        }
        let last = if name == "n2" { 6 } else { 10 };
        for second in 0..last {
            let (at, from) = (1000 * (second + 1), told.mono(1000 * second + 10 * number as u64));
            if second == 4 {
                told.node(
                    at - 900,
                    "s1",
                    NodeState::Unresponsive,
                    StateChangeCause::AttemptEnded(AttemptEnd::TimedOut),
                );
                told.list(at - 500, 9, "s2", NodeState::Draining);
                told.node(at - 500, "s2", NodeState::Draining, StateChangeCause::EndpointUpdate(9));
            }
            let late = if second == 4 { 8 } else { 0 };
            let class = ClassSecond {
                start: from,
                duration: 1000 * MS,
                received: 40,
                within_objective: 40 - late,
                late,
                ..ClassSecond::default()
            };
            told.put(at + 10 * number as u64, Event::ClassSecond(class));
            for node in ["s0", "s1", "s2", "s3"] {
                let mut counts = NodeSecond {
                    start: from,
                    duration: 1000 * MS,
                    node: node.into(),
                    sent: 10,
                    max_in_flight: 2,
                    ..NodeSecond::default()
                };
                counts.attempt_ends[if node == "s1" && second == 4 { 3 } else { 0 }] = 10;
                told.put(at + 10 * number as u64, Event::NodeSecond(counts));
            }
        }
        if name != "n2" {
            told.put(11_000, Event::Lifecycle(Lifecycle::Stopped));
        }
        folds.push(told.fold());
    }
    Incident::of(&folds, Window::ALL)
}

fn picture(view: &View, width: u16, height: u16) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal.draw(|frame| draw(frame, view, false)).unwrap();
    let buffer = terminal.backend().buffer().clone();
    let line = |y: u16| (0..width).map(|x| buffer[(x, y)].symbol()).collect::<String>().trim_end().to_owned();
    (0..height).map(line).collect::<Vec<_>>().join("\n") + "\n"
}

fn press(view: &mut View, keys: &[Key]) -> Vec<Effect> {
    keys.iter().filter_map(|key| view.key(*key)).collect()
}

/// Snapshots: with `UPDATE_SNAPSHOTS` set they are written, to be looked at.
#[rstest]
#[case::end("end", Mode::Recorded, &[])]
#[case::silence(
    "silence",
    Mode::Recorded,
    &[Key::Home, Key::PageDown, Key::Left, Key::Left, Key::Left, Key::Left, Key::Left, Key::Down],
)]
#[case::question("question", Mode::Live { addresses: 3 }, &[Key::Down, Key::Letter('s')])]
fn it_looks_like_this_at_80_by_24(#[case] name: &str, #[case] mode: Mode, #[case] keys: &[Key]) {
    let mut view = View::new(incident(), mode);
    press(&mut view, keys);
    let seen = picture(&view, 80, 24);
    let path = format!("{}/tests/snapshots/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("UPDATE_SNAPSHOTS").is_some() {
        std::fs::write(&path, &seen).unwrap();
    }
    assert_eq!(seen, std::fs::read_to_string(&path).unwrap(), "{seen}");
}

/// Whatever the size, it draws something and does not fail.
#[rstest]
fn any_size_is_drawn(#[values(1, 20, 80, 300)] width: u16, #[values(1, 8, 24, 90)] height: u16) {
    picture(&View::new(incident(), Mode::Recorded), width, height);
    picture(&View::new(Incident::of(&Vec::<Fold>::new(), Window::ALL), Mode::Recorded), width, height);
}

#[test]
fn an_order_is_given_after_a_yes_only() {
    let mut view = View::new(incident(), Mode::Live { addresses: 3 });
    assert_eq!(press(&mut view, &[Key::Down, Key::Letter('s')]), vec![]);
    assert_eq!(view.line(), "Suspend s1 at 3 schedulers? y/n");
    assert_eq!(press(&mut view, &[Key::Letter('n')]), vec![]);
    assert_eq!(press(&mut view, &[Key::Letter('y')]), vec![], "the question is over");
    let yes = press(&mut view, &[Key::Letter('r'), Key::Letter('y')]);
    assert_eq!(yes, vec![Effect::Command(OperatorCommand::Restore("s1".into()))]);
    // Even quitting is no yes.
    assert_eq!(press(&mut view, &[Key::Letter('s'), Key::Letter('q')]), vec![]);
    assert_eq!(press(&mut view, &[Key::Letter('q')]), vec![Effect::Quit]);
}

#[rstest]
#[case(Mode::Recorded, "these are records")]
#[case(Mode::Live { addresses: 0 }, "no second address")]
fn where_nothing_can_be_ordered_it_says_so(#[case] mode: Mode, #[case] why: &str) {
    let mut view = View::new(incident(), mode);
    assert_eq!(press(&mut view, &[Key::Letter('s')]), vec![]);
    assert!(view.line().contains(why), "{}", view.line());
    assert_eq!(press(&mut view, &[Key::Letter('y')]), vec![]);
}

#[test]
fn the_cursor_stays_within_the_records() {
    let mut view = View::new(incident(), Mode::Recorded);
    press(&mut view, &[Key::PageUp, Key::PageUp, Key::PageUp]);
    assert!(view.moment().abs_diff(NINE) < 1000 * MS && !view.follows());
    press(&mut view, &[Key::PageDown, Key::PageDown]);
    assert!(view.follows());
    // From finding to finding, there and back.
    press(&mut view, &[Key::Home]);
    let mut seen = vec![view.moment()];
    for _ in 0..4 {
        press(&mut view, &[Key::Letter('n')]);
        seen.push(view.moment());
    }
    assert!(seen.is_sorted() && seen[0] < seen[4], "{seen:?}");
    press(&mut view, &[Key::Letter('p')]);
    assert_eq!(view.moment(), seen[3]);
}
