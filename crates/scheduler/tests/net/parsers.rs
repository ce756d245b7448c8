//! Tables of cases for the parsers. The bytes are written by hand, from the tables of the specifications.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use heathward_core::SendGate;
use heathward_load_sources::{access_log, har, Recorded, Rules};
use heathward_policy::settings::Deployment;
use heathward_policy::{EndpointUpdateKind, KeyId, NodeState, ShardId, VolumeId};
use heathward_transport::discovery;
use heathward_transport::http::format_retry_after;
use heathward_transport::node::WriteProgress;
use heathward_transport::nvme::{
    BlockRange, Body, Command, Completion, Connect, ConnectData, FatalError, NvmeMap, Pdu, Sgl, Status,
    MAX_DATA_BYTES,
};
use rstest::rstest;
use tokio::time::Instant;

use heathward_fakes::*;

#[rstest]
#[case::complete("GET / HTTP/1.1\r\na: b\r\n\r\n", 0, true)]
#[case::head_cut("GET / HTTP/1.1\r\na: b\r\n\r", 0, false)]
#[case::body_cut("PUT / HTTP/1.1\r\n\r\nabc", 4, false)]
#[case::body("PUT / HTTP/1.1\r\n\r\nabcd", 4, true)]
#[case::extra_carriage_return("PUT / HTTP/1.1\r\r\n\r\n", 0, true)]
#[case::nothing("", 0, false)]
fn written_bytes_tell_whether_a_request_is_complete(
    #[case] bytes: &str,
    #[case] body: usize,
    #[case] complete: bool,
    #[values(1, 3, 1000)] piece: usize,
) {
    let (written, attempt) = (WriteProgress::default(), attempt(SendGate::default(), Instant::now()));
    let written_attempts = attempt.written_attempts.clone();
    for _ in 0..2 {
        written.begin(body, attempt.clone());
        bytes.as_bytes().chunks(piece).for_each(|part| written.record(part));
        assert_eq!(written.is_complete(), complete);
    }
    assert_eq!(written_attempts.total(), if complete { 2 } else { 0 }, "each is counted once");
}

#[rstest]
#[case(1, "0.001")]
#[case(75_000, "0.075")]
#[case(2_000_000, "2.000")]
fn retry_hints_are_decimal_seconds(#[case] span: u64, #[case] text: &str) {
    assert_eq!(format_retry_after(span), text);
}

const ENTRY: &str = r#"{"revision":43,"complete":false,"members":[
    {"id":"s-5be2a07c","host_port":"10.1.0.18:8080",
    "locality":"a","flavor":"m2","cell":3,"phase":"terminating","size":1.0,"up_since_ms":12.5,"new":[]}]}"#;

#[rstest]
#[case::not_json(ENTRY, "{", false)]
#[case::no_revision("\"revision\":43,", "", false)]
#[case::negative_cell("\"cell\":3", "\"cell\":-3", false)]
#[case::no_port("10.1.0.18:8080", "10.1.0.18", false)]
#[case::phase("terminating", "asleep", false)]
#[case::no_zone("\"locality\":\"a\",", "", true)]
#[case::whole_number("12.5", "12", true)]
#[case::unchanged("", "", true)]
fn endpoint_updates_are_decoded_or_rejected(#[case] from: &str, #[case] to: &str, #[case] valid: bool) {
    let update = discovery::parse_update(&ENTRY.replacen(from, to, 1));
    assert_eq!(update.is_ok(), valid, "{update:?}");
    if let Ok(update) = update {
        assert_eq!(
            (update.revision, update.kind, update.endpoints.len()),
            (43, EndpointUpdateKind::Changes, 1)
        );
        let member = &update.endpoints[0];
        assert_eq!((member.state, member.shard), (NodeState::Draining, ShardId(3)));
        assert!(matches!(member.started_at, Some(12_000 | 12_500)));
    }
}

/// Returns `start`, padded with zeros to `size` bytes.
fn pdu(start: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = start.to_vec();
    bytes.resize(size, 0);
    bytes
}

fn capsule(sqe: &[(usize, &[u8])]) -> Vec<u8> {
    let mut bytes = pdu(&[4, 0, 72, 0, 72, 0, 0, 0], 72);
    bytes[9] = 0x40;
    sqe.iter().for_each(|(at, value)| bytes[8 + at..8 + at + value.len()].copy_from_slice(value));
    bytes
}

const BLOCKS: BlockRange = BlockRange { nsid: 3, first: 0x0102_0304_0506, count: 8 };

#[rstest]
#[case::ic_req(
    pdu(&[0, 0, 128, 0, 128, 0, 0, 0, 0, 0, 4, 0, 2, 0, 0, 0], 128),
    Pdu::IcReq { pfv: 0, hpda: 4, digests: 0, max_r2t: 2 }
)]
#[case::ic_resp(
    pdu(&[1, 0, 128, 0, 128, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 0], 128),
    Pdu::IcResp { pfv: 0, cpda: 1, digests: 0, max_h2c: 65536 }
)]
#[case::read(
    capsule(&[(0, &[2]), (2, &[7, 1]), (4, &[3]), (33, &[0x10]), (39, &[0x5a]),
        (40, &[6, 5, 4, 3, 2, 1]), (48, &[7])]),
    Pdu::Capsule {
        command: Command::new(0x107, Sgl::Transport { length: 4096 }, Body::Read(BLOCKS)), data: Bytes::new()
    }
)]
#[case::abort(
    capsule(&[(0, &[8]), (39, &[0x5a]), (40, &[5, 0, 9, 1])]),
    Pdu::Capsule {
        command: Command::new(0, Sgl::Transport { length: 0 }, Body::Abort { queue: 5, cid: 0x109 }),
        data: Bytes::new()
    }
)]
#[case::property_set(
    capsule(&[(0, &[0x7f]), (39, &[0x5a]), (44, &[0x14]), (48, &[1, 0, 0x46])]),
    Pdu::Capsule {
        command: Command::new(0, Sgl::Transport { length: 0 },
            Body::PropertySet { wide: false, offset: 0x14, value: 0x46_0001 }),
        data: Bytes::new()
    }
)]
#[case::connect(
    capsule(&[(0, &[0x7f]), (4, &[1]), (33, &[4]), (39, &[1]), (42, &[1]), (44, &[31]), (48, &[0xe8, 3])]),
    Pdu::Capsule {
        command: Command::new(0, Sgl::InCapsule { offset: 0, length: 1024 },
            Body::Connect(Connect { format: 0, queue: 1, size: 31, keep_alive: 1000 })),
        data: Bytes::new()
    }
)]
#[case::response(
    pdu(&[5, 0, 24, 0, 24, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 6, 0, 0, 0, 7, 1, 0x42, 0xa0], 24),
    Pdu::Response(Completion {
        result: 9, head: 6, cid: 0x107,
        status: Status { retry_delay: 2, do_not_retry: true, ..Status::INTERRUPTED }
    })
)]
#[case::h2c_data(
    [pdu(&[6, 4, 24, 24, 27, 0, 0, 0, 7, 1, 2, 0, 0, 16, 0, 0, 3], 24), b"abc".to_vec()].concat(),
    Pdu::H2cData { cid: 0x107, ttag: 2, offset: 4096, last: true, data: Bytes::from_static(b"abc") }
)]
#[case::c2h_data(
    [pdu(&[7, 0, 24, 24, 27, 0, 0, 0, 7, 1, 0, 0, 0, 0, 0, 0, 3], 24), b"abc".to_vec()].concat(),
    Pdu::C2hData { cid: 0x107, offset: 0, last: false, data: Bytes::from_static(b"abc") }
)]
#[case::r2t(
    pdu(&[9, 0, 24, 0, 24, 0, 0, 0, 7, 1, 2, 0, 0, 0, 0, 0, 0, 2], 24),
    Pdu::R2t { cid: 0x107, ttag: 2, offset: 0, length: 512 }
)]
#[case::term(
    [pdu(&[3, 0, 24, 0, 28, 0, 0, 0, 1, 0, 4], 24), vec![1, 2, 3, 4]].concat(),
    Pdu::TermReq { by_host: false, fatal: FatalError::header(4), echo: Bytes::from_static(&[1, 2, 3, 4]) }
)]
fn pdus_round_trip(#[case] bytes: Vec<u8>, #[case] pdu: Pdu) {
    let mut input = BytesMut::new();
    for byte in &bytes {
        assert_eq!(Pdu::decode(&mut input), Ok(None), "not complete after {} bytes", input.len());
        input.extend_from_slice(&[*byte]);
    }
    assert_eq!(Pdu::decode(&mut input), Ok(Some(pdu.clone())));
    assert!(input.is_empty());
    let mut output = BytesMut::new();
    pdu.encode(&mut output, 4);
    assert_eq!(output, bytes);
}

#[rstest]
#[case::kind(&[8, 0, 24, 0, 24, 0, 0, 0], FatalError::header(0))]
#[case::digest(&[4, 1, 72, 0, 72, 0, 0, 0], FatalError::header(1))]
#[case::head(&[4, 0, 71, 0, 72, 0, 0, 0], FatalError::header(2))]
#[case::data_before_head(&[6, 0, 24, 23, 48, 0, 0, 0], FatalError::header(3))]
#[case::data_past_end(&[6, 0, 24, 200, 48, 0, 0, 0], FatalError::header(3))]
#[case::short(&[0, 0, 128, 0, 127, 0, 0, 0], FatalError::header(4))]
#[case::long(&[4, 0, 72, 72, 0, 0, 0, 1], FatalError::header(4))]
#[case::data_on_r2t(&[9, 0, 24, 24, 25, 0, 0, 0], FatalError::header(4))]
fn malformed_pdus_are_fatal_once_their_header_is_complete(#[case] bytes: &[u8], #[case] fatal: FatalError) {
    assert_eq!(Pdu::decode(&mut BytesMut::from(bytes)), Err(fatal));
}

#[test]
fn data_is_aligned_as_the_peer_requires() {
    let data = Bytes::from(vec![7; MAX_DATA_BYTES]);
    let pdu = Pdu::C2hData { cid: 1, offset: 0, last: true, data };
    for align in [4, 24, 32, 128] {
        let mut bytes = BytesMut::new();
        pdu.encode(&mut bytes, align);
        assert!(usize::from(bytes[3]) % align == 0 && bytes[3] >= 24);
        assert_eq!(Pdu::decode(&mut bytes), Ok(Some(pdu.clone())));
    }
}

#[test]
fn connect_data_round_trips() {
    let names = ConnectData { controller: 0xffff, subsystem: "nqn.a".to_owned(), host: "nqn.b".to_owned() };
    let bytes = names.encode();
    assert_eq!((bytes.len(), &bytes[16..18], &bytes[256..262]), (1024, &[255, 255][..], &b"nqn.a\0"[..]));
    assert_eq!(ConnectData::decode(&bytes), Some(names));
    assert_eq!(ConnectData::decode(&bytes[..1023]), None);
}

fn deployment() -> Deployment {
    let text = config_text("127.0.0.1:1", "127.0.0.1:2", "");
    heathward_config::parse_configuration(&text).unwrap().deployment
}

/// Each case replaces one text in deploy/nvme.json, so that the shipped file itself is checked too.
#[rstest]
#[case::unchanged("", "", None)]
#[case::class("\"read\": \"consulta\"", "\"read\": \"pedido\"", Some("read"))]
#[case::no_class("\"write\": \"pedido\"", "\"write\": \"nada\"", Some("write"))]
#[case::block("\"block\": 512", "\"block\": 500", Some("block"))]
#[case::units("\"unit_blocks\": 16", "\"unit_blocks\": 1", Some("unit_blocks"))]
#[case::plan("\"plan\": \"basico\"", "\"plan\": \"oro\"", Some("namespaces.1.plan"))]
#[case::nsid("\"nsid\": 2", "\"nsid\": 1", Some("namespaces.nsid"))]
#[case::volume("00000003b4d60022", "volume", Some("namespaces.1.volume"))]
#[case::shards("[3, 4]", "[]", Some("namespaces.1.shards"))]
#[case::listen("127.0.0.1:4420", "here", Some("listen"))]
#[case::subsystem("nqn.2026", "2026", Some("subsystem"))]
#[case::missing("\"depth\": 32,", "", Some("nvme"))]
fn an_invalid_nvme_map_names_the_field_at_fault(
    #[case] from: &str,
    #[case] to: &str,
    #[case] invalid_field: Option<&str>,
) {
    let text = include_str!("../../../../deploy/nvme.json");
    assert!(text.contains(from));
    let map = NvmeMap::parse(&text.replacen(from, to, 1), &deployment());
    assert_eq!(map.as_ref().err().map(|error| error.field.as_str()), invalid_field);
    if let Ok(map) = map {
        let namespace = map.namespace(2).unwrap();
        assert_eq!([0, 255, 256, 512].map(|block| namespace.shard(block).0), [3, 3, 4, 3]);
        assert_eq!([1, 16, 17, 128].map(|blocks| map.units(blocks)), [1, 1, 2, 8]);
        let (volume, end) = (VolumeId(0x3_b4d6_0022), namespace.blocks);
        assert_eq!(map.block_range(volume, KeyId(5), 8), Some(BlockRange { nsid: 2, first: 5, count: 8 }));
        assert_eq!(map.block_range(volume, KeyId(end - 7), 8), None, "past the end");
        assert_eq!(map.block_range(VolumeId(1), KeyId(5), 8), None, "no namespace");
    }
}

fn rules() -> Rules {
    let text =
        r#"{"read":"consulta","write":"pedido","plan":"basico","unit_bytes":4096,"shards":9,"hosts":2}"#;
    Rules::parse(text, Arc::new(deployment())).unwrap()
}

/// Returns the time, class, volume, key, units and shard of the request that an entry of a load source
/// becomes.
fn fields(recorded: &Recorded) -> (u64, u16, u64, u64, u32, u64) {
    let call = recorded.taken_at(Instant::now());
    let shard = u64::from(call.shard.unwrap().0);
    (
        recorded.at,
        call.class.0,
        call.node_request.volume.0,
        call.node_request.key.0,
        call.node_request.units,
        shard,
    )
}

const HAR: &str = r#"{"log":{"version":"1.2","entries":[
    {"startedDateTime":"2026-12-01T08:00:00.250Z",
     "request":{"method":"PUT","url":"http://a.example/pedido/0000000000000007/0000000000000015?v=1",
                "bodySize":9000,"postData":{"mimeType":"text/plain","text":"w"}},
     "response":{"status":200,"content":{"size":0}}},
    {"startedDateTime":"2026-12-01T09:00:01+01:00",
     "request":{"method":"GET","url":"https://a.example/stock.html#top","bodySize":-1},
     "response":{"status":200,"content":{"size":1e9}}}]}}"#;

#[rstest]
#[case::unchanged("", "", [Ok(()), Ok(())])]
#[case::time("T08:00:00.250Z", "T08:00", [Err("startedDateTime"), Ok(())])]
#[case::before_1970("2026-12-01T09", "1926-12-01T09", [Ok(()), Err("startedDateTime")])]
#[case::method("\"PUT\"", "\"CONNECT\"", [Err("method"), Ok(())])]
#[case::no_method("\"method\":\"GET\",", "", [Ok(()), Err("request.method: missing")])]
#[case::address("https://", "data:", [Ok(()), Err("request.url")])]
#[case::size("1e9", "\"all\"", [Ok(()), Err("response.content.size")])]
fn har_entries_become_requests_or_are_skipped(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: [Result<(), &str>; 2],
) {
    let found = har(&HAR.replacen(from, to, 1), &rules());
    assert_eq!(found.len(), 2);
    for ((entry, outcome), place) in found.iter().zip(&expected).zip(1..) {
        match (entry, outcome) {
            (Ok(_), Ok(())) => {}
            (Err(skipped), Err(why)) => {
                assert!(skipped.place == place && skipped.why.contains(why), "{skipped}")
            }
            other => panic!("{place}: {other:?}"),
        }
    }
    if expected == [Ok(()), Ok(())] {
        let [write, read] = [&found[0], &found[1]].map(|found| fields(found.as_ref().unwrap()));
        assert_eq!(write, (1_796_112_000_250_000, 1, 7, 0x15, 3, 0x15 % 9));
        assert_eq!((read.0, read.1, read.4, read.5), (1_796_112_001_000_000, 0, 8, read.3 % 9));
        assert_eq!(&*found[0].as_ref().unwrap().taken_at(Instant::now()).node_request.body, b"w");
    }
}

#[rstest]
#[case::not_json("{", "not JSON")]
#[case::no_log("{}", "no list")]
#[case::no_entries(r#"{"log":{"entries":3}}"#, "no list")]
fn a_malformed_har_file_is_reported(#[case] text: &str, #[case] why: &str) {
    let found = har(text, &rules());
    assert!(
        matches!(&found[..], [Err(skipped)] if skipped.place == 0 && skipped.why.contains(why)),
        "{found:?}"
    );
}

#[rstest]
#[case::common(r#"h - ana [01/Dec/2026:09:00:01 +0100] "GET /stock.html?a=b HTTP/1.1" 200 5000"#, Ok((0, 2)))]
#[case::combined(
    r#"h - - [01/Dec/2026:08:00:01 +0000] "PUT /o/1 HTTP/1.0" 204 - "http://x/" "curl \"7\"""#, Ok((1, 1))
)]
#[case::quote(r#"h - - [01/Dec/2026:08:00:01 +0000] "GET /a\"b HTTP/1.1" 200 1"#, Ok((0, 1)))]
#[case::no_host("", Err("nothing"))]
#[case::no_time(r#"h - - "GET / HTTP/1.1" 200 1"#, Err("no time"))]
#[case::month(r#"h - - [01/Foo/2026:08:00:01 +0000] "GET / HTTP/1.1" 200 1"#, Err("time"))]
#[case::request(r#"h - - [01/Dec/2026:08:00:01 +0000] "-" 408 -"#, Err("request"))]
#[case::open(r#"h - - [01/Dec/2026:08:00:01 +0000] "GET / HTTP/1.1 200 1"#, Err("no end"))]
#[case::status(r#"h - - [01/Dec/2026:08:00:01 +0000] "GET / HTTP/1.1" ok 1"#, Err("status"))]
#[case::size(r#"h - - [01/Dec/2026:08:00:01 +0000] "GET / HTTP/1.1" 200 many"#, Err("size"))]
#[case::target(r#"h - - [01/Dec/2026:08:00:01 +0000] "GET http://x/ HTTP/1.1" 200 1"#, Err("target"))]
fn access_log_lines_become_requests_or_are_skipped(
    #[case] line: &str,
    #[case] expected: Result<(u16, u32), &str>,
) {
    let found = access_log(&format!("\n{line}\n"), &rules());
    match (found.first(), expected) {
        (Some(Ok(recorded)), Ok((class, units))) => {
            let (at, class_index, _, _, recorded_units, _) = fields(recorded);
            assert_eq!((at, class_index, recorded_units), (1_796_112_001_000_000, class, units));
        }
        (Some(Err(skipped)), Err(why)) => {
            assert!(skipped.place == 2 && skipped.why.contains(why), "{skipped}");
        }
        (None, Err("nothing")) => {}
        other => panic!("{other:?}"),
    }
}

/// A stream that arrives in pieces of any size is split into objects, on one line or over several, and the
/// lines between them. A malformed line or object does not affect those that follow it.
#[rstest]
#[case::one_per_line("{\"a\":1}\n\n{\"b\":{\"c\":2}}\n", &["{\"a\":1}", "", "{\"b\":{\"c\":2}}"])]
#[case::no_end_of_line("{\"a\":1}", &["{\"a\":1}"])]
#[case::carriage_returns("{\"a\":1}\r\n\r\n", &["{\"a\":1}", ""])]
#[case::indented("{\n  \"a\": [\n    {\n      \"b\": 1\n    }\n  ]\n}\n\n", &["{\"a\":[{\"b\":1}]}", ""])]
#[case::over_several_lines("{\n\"a\":[\n{\"b\":1},\n{}]\n}\n", &["{\"a\":[{\"b\":1},{}]}"])]
#[case::mixed_indentation("  {\"a\":1}\n\t{\n\t\"b\":2}  \n", &["{\"a\":1}", "{\"b\":2}"])]
#[case::two_on_a_line("{\"a\":1}{\"b\":2}\n", &["{\"a\":1}", "{\"b\":2}"])]
#[case::braces_in_strings("{\"}\\\"{\":\"\\\\\"}\n\n", &["{\"}\\\"{\":\"\\\\\"}", ""])]
#[case::noise("nothing\n{\"a\":1}\n", &["nothing", "{\"a\":1}"])]
#[case::broken_off("{\"a\":[{\"b\n{\"a\":1}\n", &["{\"a\":[{\"b", "{\"a\":1}"])]
#[case::broken_off_then_silence("{\"a\":[{\n\n{\"a\":1}\n", &["{\"a\":[{", "", "{\"a\":1}"])]
#[case::closed_too_often("{\"a\":1}}\n{\"b\":2}\n", &["{\"a\":1}", "}", "{\"b\":2}"])]
fn a_watch_stream_is_split_into_snapshots_and_lines(
    #[case] text: &str,
    #[case] expected: &[&str],
    #[values(1, 2, 3, 1000)] piece: usize,
) {
    let mut lines = discovery::StreamSplitter::default();
    let mut items = Vec::new();
    for part in text.as_bytes().chunks(piece) {
        lines.extend(part);
        items.extend(std::iter::from_fn(|| lines.next_item()));
    }
    let without_spaces =
        |line: Vec<u8>| String::from_utf8(line).unwrap().split_whitespace().collect::<String>();
    assert_eq!(items.into_iter().map(without_spaces).collect::<Vec<_>>(), expected);
    assert_eq!(lines.buffered_bytes(), 0);
}
