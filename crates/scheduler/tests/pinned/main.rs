//! The output of this program that other programs and people read, byte for byte: HTTP answers, requests to
//! storage nodes, and the help texts and messages of the command line. The files under `fixtures/` do not
//! change with names in the code.
#![cfg(test)]

mod check_messages;
mod http_answers;
mod node_requests;

use std::path::Path;

/// Compares `actual` with the fixture `name`. Text that differs is written to the target folder, for
/// inspection.
fn assert_matches_fixture(name: &str, actual: &str) {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/pinned/fixtures").join(name);
    let expected = std::fs::read(&fixture).unwrap_or_default();
    if expected != actual.as_bytes() {
        let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&written, actual).unwrap();
        panic!("output differs from {}: see {}", fixture.display(), written.display());
    }
}

/// Returns the head with the value of the header `name` masked, if the header is there.
fn masked(head: &str, name: &str) -> String {
    let line = |line: &str| match line.split_once(": ") {
        Some((found, _)) if found.eq_ignore_ascii_case(name) => format!("{found}: <{name}>\r\n"),
        _ => line.to_owned(),
    };
    head.split_inclusive('\n').map(line).collect()
}
