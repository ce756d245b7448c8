//! An operator file with every setting, evaluated and decoded. The files under `fixtures/` contain no
//! identifiers of the code and must stay as they are when those are renamed.
#![cfg(test)]

use std::fmt::Write;
use std::path::{Path, PathBuf};

use heathward_config::{evaluate_jsonnet, parse_configuration, OperatorSettings};
use heathward_logs::{Filter, Format};
use rstest::rstest;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/operator").join(name)
}

/// Compares a text with the fixture of that name. A text that differs is written to the target folder.
fn assert_matches_fixture(name: &str, actual: &str) {
    let expected = std::fs::read(fixture(name)).unwrap_or_default();
    if expected != actual.as_bytes() {
        let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&actual_path, actual).unwrap();
        panic!("differs from the fixture {name}: see {}", actual_path.display());
    }
}

/// Formats the settings as text, each under its name in the file.
fn format_settings(operator: &OperatorSettings) -> String {
    let mut text = String::new();
    let format = match operator.log.format {
        Format::Text => "text",
        Format::Json => "json",
    };
    writeln!(text, "log.format={format}").unwrap();
    let Some(map) = &operator.nvme_map else { panic!("no NVMe front") };
    let addresses = format!("nvme.listen={}\nnvme.subsystem={}", map.listen, map.subsystem);
    writeln!(text, "{addresses}\nnvme.queues={}\nnvme.depth={}", map.queues, map.depth).unwrap();
    writeln!(text, "nvme.block={}\nnvme.unit_blocks={}", map.block, map.unit_blocks).unwrap();
    writeln!(text, "nvme.read={} {}", map.read.id.0, map.read.name).unwrap();
    writeln!(text, "nvme.write={} {}", map.write.id.0, map.write.name).unwrap();
    for namespace in &map.namespaces {
        let shards: Vec<u32> = namespace.shards.iter().map(|shard| shard.0).collect();
        write!(text, "namespace nsid={} volume={:x} ", namespace.nsid, namespace.volume.0).unwrap();
        write!(text, "plan={} hosts={} blocks={} ", namespace.plan.0, namespace.hosts, namespace.blocks)
            .unwrap();
        writeln!(text, "stripe={} shards={shards:?}", namespace.stripe).unwrap();
    }
    for target in &map.targets {
        writeln!(text, "target node={} subsystem={}", target.node, target.subsystem).unwrap();
    }
    let Some(recorder) = &operator.recorder else { panic!("no records") };
    let (rotation, clock) = (&recorder.limits.rotation, &recorder.clock_skew);
    writeln!(text, "records.folder={}", recorder.folder.display()).unwrap();
    writeln!(text, "records.segment bytes={} micros={}", rotation.max_bytes, rotation.max_age).unwrap();
    writeln!(
        text,
        "records.total bytes={}\nrecords.waiting={}",
        recorder.limits.max_total_bytes, recorder.queue_capacity
    )
    .unwrap();
    writeln!(text, "records.requests={}", recorder.records_requests).unwrap();
    write!(text, "records.clock offset_ms={} ", clock.offset_ms).unwrap();
    writeln!(text, "step_after_ms={} step_ms={}", clock.step_after_ms, clock.step_ms).unwrap();
    text
}

#[test]
fn every_setting_is_evaluated_and_decoded_as_in_the_fixtures() {
    let configuration = parse_configuration(include_str!("../../../examples/config.json"))
        .unwrap_or_else(|error| panic!("{error}"));
    let json = evaluate_jsonnet(&fixture("every_setting.jsonnet")).unwrap();
    assert_matches_fixture("every_setting.json", &json);
    let operator = OperatorSettings::parse(&json, Some(&configuration.deployment)).unwrap();
    assert_matches_fixture("every_setting.txt", &format_settings(&operator));
    let filter: Filter = "warn,heathward_core=debug".parse().unwrap();
    assert_eq!(format!("{:?}", operator.log.filter), format!("{filter:?}"));
}

/// Settings that are absent or null have their defaults.
#[rstest]
#[case("{}")]
#[case(r#"{"log":null,"nvme":null,"records":null}"#)]
fn an_operator_file_without_settings_sets_nothing(#[case] text: &str) {
    let operator = OperatorSettings::parse(text, None).unwrap();
    assert_eq!(operator.log.format, Format::Text);
    assert!(operator.nvme_map.is_none() && operator.recorder.is_none());
    let defaults = OperatorSettings::parse(r#"{"records":{"folder":"/r"}}"#, None).unwrap().recorder.unwrap();
    assert_eq!(
        (defaults.limits.rotation.max_bytes, defaults.limits.rotation.max_age),
        (16 << 20, 600_000_000)
    );
    assert_eq!(
        (defaults.limits.max_total_bytes, defaults.queue_capacity, defaults.records_requests),
        (512 << 20, 8192, false)
    );
}
