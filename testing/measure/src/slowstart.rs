//! `heathward-measure slowstart`: the slow start of cold nodes before fleets of three sizes, under each
//! condition of the design note, in virtual time over many seeds.

use std::time::Instant;

use heathward_scale_tests::slow_start::{
    cases, play, slice_pairs, Case, CaseFigures, Condition, Deployment, FLEET_SIZES,
};

use crate::{Figures, Want};

/// Plays at a time.
const THREADS: usize = 4;
/// How far two slices may differ in the share that is sent of what is allowed.
const SLICES_DIFFER: f64 = 0.03;

/// All figures, or those of the fleet with that number of schedulers alone.
///
/// # Panics
/// Where the module refuses a deployment's settings.
pub fn run(words: &[String], figures: &mut Figures) {
    let began = Instant::now();
    let named: Option<u32> = words.first().and_then(|word| word.parse().ok());
    for size in FLEET_SIZES.into_iter().filter(|size| named.is_none_or(|named| named == size.schedulers)) {
        let mut seeds = 0;
        for case in cases(size) {
            let came = played(&case);
            judge(figures, &case, &came);
            seeds += came.seeds;
            let pair = slice_pairs().into_iter().find(|(usual, _)| *usual == case);
            if let Some((_, larger)) = pair {
                compare_slices(figures, &case, &came, &larger);
            }
        }
        let took = began.elapsed().as_secs_f64();
        println!("{} x {}: {seeds} seeds, {took:.0} s so far", size.schedulers, size.nodes);
    }
}

fn played(case: &Case) -> CaseFigures {
    let came = play(case, case.seeds(), THREADS).unwrap_or_else(|error| panic!("{error:?}"));
    print(case, &came);
    came
}

fn print(case: &Case, came: &CaseFigures) {
    println!(
        "{}: {:?}, {} seeds, worst window {:.3} of the bound by all senders, {:.3} as the rule judges; \
         passed {} and {} times; sent {:.3} of min(N, asked) in the mean, {:.3} at the least, \
         {} of N where that is asked; served {:.3} of ability; \
         {:.2} times the least",
        case.name(),
        case.slice,
        came.seeds,
        came.worst,
        came.worst_told,
        came.passed,
        came.passed_told,
        came.sent_of_allowed.0,
        came.sent_of_allowed.1,
        came.sent_where_asked.map_or("-".to_owned(), |sent| format!("{sent:.3}")),
        came.served_of_ability,
        came.times_the_least,
    );
}

/// Bounds hold where settings name the true number of schedulers; a wrong number is printed alone.
fn judge(figures: &mut Figures, case: &Case, came: &CaseFigures) {
    if !case.condition.hosts_are_right() {
        return;
    }
    let name = case.name();
    let mut tell = |what: &str, value: f64, unit: &str, want| {
        figures.tell(&format!("slowstart-{name}-{what}"), value, unit, want);
    };
    tell("worst-window", came.worst_told, "of-bound", Want::AtMost(1.0));
    tell("passed", came.passed_told as f64, "times", Want::Exactly(0.0));
    if let Some(sent) = came.sent_where_asked {
        tell("sent-where-asked", sent, "of-allowed", Want::AtLeast(0.5));
    }
    if case.deployment == Deployment::PlannedSize && case.condition == Condition::Plain {
        tell("serves-again", came.times_the_least, "of-least", Want::AtMost(1.3));
    }
}

/// The usual slice of a case against one of twice the size.
fn compare_slices(figures: &mut Figures, case: &Case, usual: &CaseFigures, larger: &Case) {
    let apart = (usual.sent_of_allowed.0 - played(larger).sent_of_allowed.0).abs();
    let what = format!("slowstart-{}-slices-differ", case.name());
    figures.tell(&what, apart, "of-allowed", Want::AtMost(SLICES_DIFFER));
}
