use rstest::rstest;

use super::*;

#[rstest]
#[case::empty("{}", None)]
#[case::off(r#"{"log":null,"nvme":null}"#, None)]
#[case::log(r#"{"log":{"format":"json","filter":"info,heathward_core=debug"}}"#, None)]
#[case::list("[]", Some("operator file"))]
#[case::slip(r#"{"logs":{}}"#, Some("logs"))]
#[case::slip_inside(r#"{"log":{"fromat":"json"}}"#, Some("log.fromat"))]
#[case::format(r#"{"log":{"format":"xml"}}"#, Some("log.format"))]
#[case::filter(r#"{"log":{"filter":"loud"}}"#, Some("log.filter"))]
#[case::no_object(r#"{"log":7}"#, Some("log"))]
#[case::records(r#"{"records":{"folder":"/r","segmentMb":8,"totalMb":16,"requests":true}}"#, None)]
#[case::no_folder(r#"{"records":{}}"#, Some("records.folder"))]
#[case::here(r#"{"records":{"folder":"r"}}"#, Some("records.folder"))]
#[case::too_small(r#"{"records":{"folder":"/r","totalMb":20}}"#, Some("records.totalMb"))]
#[case::negative(r#"{"records":{"folder":"/r","waiting":-1}}"#, Some("records.waiting"))]
#[case::flag(r#"{"records":{"folder":"/r","requests":"maybe"}}"#, Some("records.requests"))]
#[case::clock(
    r#"{"records":{"folder":"/r","clock":{"offsetMs":-300,"step":1}}}"#,
    Some("records.clock.step")
)]
#[case::nvme(r#"{"nvme":{}}"#, Some("a configuration that the section nvme goes with"))]
fn an_invalid_setting_is_named(#[case] text: &str, #[case] field: Option<&str>) {
    let read = OperatorSettings::parse(text, None);
    assert_eq!(read.as_ref().err().map(|e| e.field.as_str()), field, "{read:?}");
}
