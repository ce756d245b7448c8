use rstest::rstest;

use super::imports::find_imports;

#[rstest]
#[case::none("{a: 1}", Ok(&[][..]))]
#[case::one("import 'a.json'", Ok(&["a.json"][..]))]
#[case::glued("import'a'+importstr\"b\"", Ok(&["a", "b"][..]))]
#[case::in_comments("// import 'a'\n# import 'b'\n/* import 'c' */ 1", Ok(&[][..]))]
#[case::in_a_text("'import \\'a\\'' + \"import 'b'\"", Ok(&[][..]))]
#[case::in_a_block("|||\n  import 'a' |||\n||| + import 'b'", Ok(&["b"][..]))]
#[case::verbatim("@'it''s import' + import @'c'", Ok(&["c"][..]))]
#[case::comment_between("import /* */ 'a'", Ok(&["a"][..]))]
#[case::part_of_a_name("{reimport: 'x', import_: 'y'}", Ok(&[][..]))]
#[case::up("import '../a'", Err(()))]
#[case::absolute("import '/etc/passwd'", Err(()))]
#[case::below("import 'a/b'", Err(()))]
#[case::escaped("import '\\u002e\\u002e'", Err(()))]
#[case::block("import |||\n  a\n|||", Err(()))]
#[case::no_end("import 'a", Err(()))]
fn imports_are_found_and_must_stay_in_the_folder(
    #[case] source: &str,
    #[case] expected: Result<&[&str], ()>,
) {
    let expected = expected.map(|names| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>());
    assert_eq!(find_imports(source).map_err(drop), expected);
}
