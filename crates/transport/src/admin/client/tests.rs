use super::*;

#[test]
fn a_reply_is_complete_or_an_error() {
    let rejected = |reason: &str| Err(CallError::Rejected(reason.to_owned()));
    let cases = [
        ("OK\n", false, Ok(vec![])),
        ("a=1\nb=2\nEND\n", true, Ok(vec!["a=1".to_owned(), "b=2".to_owned()])),
        ("a=1\nb=", true, Err(CallError::Malformed)),
        ("OK\nOK\n", false, Err(CallError::Malformed)),
        ("ERR unknown storage node\n", false, rejected("unknown storage node")),
        ("", false, Err(CallError::NoReply)),
    ];
    for (text, is_list, expected) in cases {
        assert_eq!(parse_reply(text, is_list), expected, "{text:?}");
    }
}
