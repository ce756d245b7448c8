use rstest::rstest;

use super::*;

#[rstest]
#[case::empty("{}", None)]
#[case::null_sections(r#"{"log":null,"nvme":null}"#, None)]
#[case::valid_log(r#"{"log":{"format":"json","filter":"info,heathward_core=debug"}}"#, None)]
#[case::not_an_object("[]", Some("operator file"))]
#[case::misspelt_section(r#"{"logs":{}}"#, Some("logs"))]
#[case::misspelt_field(r#"{"log":{"fromat":"json"}}"#, Some("log.fromat"))]
#[case::unknown_format(r#"{"log":{"format":"xml"}}"#, Some("log.format"))]
#[case::invalid_filter(r#"{"log":{"filter":"loud"}}"#, Some("log.filter"))]
#[case::section_not_an_object(r#"{"log":7}"#, Some("log"))]
#[case::valid_records(r#"{"records":{"folder":"/r","segmentMb":8,"totalMb":16,"requests":true}}"#, None)]
#[case::missing_folder(r#"{"records":{}}"#, Some("records.folder"))]
#[case::relative_folder(r#"{"records":{"folder":"r"}}"#, Some("records.folder"))]
#[case::total_below_two_segments(r#"{"records":{"folder":"/r","totalMb":20}}"#, Some("records.totalMb"))]
#[case::negative_number(r#"{"records":{"folder":"/r","waiting":-1}}"#, Some("records.waiting"))]
#[case::invalid_flag(r#"{"records":{"folder":"/r","requests":"maybe"}}"#, Some("records.requests"))]
#[case::unknown_clock_field(
    r#"{"records":{"folder":"/r","clock":{"offsetMs":-300,"step":1}}}"#,
    Some("records.clock.step")
)]
#[case::nvme_without_configuration(r#"{"nvme":{}}"#, Some("a configuration that the section nvme goes with"))]
fn an_error_names_the_invalid_setting(#[case] text: &str, #[case] expected_field: Option<&str>) {
    let parsed = OperatorSettings::parse(text, None);
    assert_eq!(parsed.as_ref().err().map(|error| error.field.as_str()), expected_field, "{parsed:?}");
}
