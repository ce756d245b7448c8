//! The short form of the capacity measurement on this build. It checks counts only, which do not depend on
//! how slow or busy the machine is.
#![cfg(test)]

use std::path::Path;

use heathward_scale_tests::bounds::exceeded;
use heathward_scale_tests::processes::{all, Form, BOUNDS};

#[test]
fn counts_grow_no_faster_than_their_bounds() {
    let series = all(Path::new(env!("CARGO_BIN_EXE_heathward")), Form::Short);
    series.iter().for_each(|series| println!("{series:?}"));
    let exceeded = exceeded(&series, BOUNDS).expect("a bound and enough sizes for each series");
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
