use super::*;

#[test]
fn an_answer_is_whole_or_none() {
    let refused = |why: &str| Err(CallError::Rejected(why.to_owned()));
    let cases = [
        ("OK\n", false, Ok(vec![])),
        ("a=1\nb=2\nEND\n", true, Ok(vec!["a=1".to_owned(), "b=2".to_owned()])),
        ("a=1\nb=", true, Err(CallError::Malformed)),
        ("OK\nOK\n", false, Err(CallError::Malformed)),
        ("ERR unknown storage node\n", false, refused("unknown storage node")),
        ("", false, Err(CallError::NoAnswer("closed without an answer".to_owned()))),
    ];
    for (text, list, expected) in cases {
        assert_eq!(read(text, list), expected, "{text:?}");
    }
}
