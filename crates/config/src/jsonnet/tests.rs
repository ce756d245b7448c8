use rstest::rstest;

use super::imports::find_imports;

#[rstest]
#[case::none("{a: 1}", Ok(&[][..]))]
#[case::one("import 'a.json'", Ok(&["a.json"][..]))]
#[case::without_white_space("import'a'+importstr\"b\"", Ok(&["a", "b"][..]))]
#[case::in_comments("// import 'a'\n# import 'b'\n/* import 'c' */ 1", Ok(&[][..]))]
#[case::in_strings("'import \\'a\\'' + \"import 'b'\"", Ok(&[][..]))]
#[case::in_a_text_block("|||\n  import 'a' |||\n||| + import 'b'", Ok(&["b"][..]))]
#[case::verbatim("@'it''s import' + import @'c'", Ok(&["c"][..]))]
#[case::comment_between("import /* */ 'a'", Ok(&["a"][..]))]
#[case::part_of_an_identifier("{reimport: 'x', import_: 'y'}", Ok(&[][..]))]
#[case::parent_folder("import '../a'", Err(()))]
#[case::absolute_path("import '/etc/passwd'", Err(()))]
#[case::subfolder("import 'a/b'", Err(()))]
#[case::escaped("import '\\u002e\\u002e'", Err(()))]
#[case::by_a_text_block("import |||\n  a\n|||", Err(()))]
#[case::unterminated_string("import 'a", Err(()))]
fn imports_are_found_and_must_stay_in_the_folder(
    #[case] source: &str,
    #[case] expected: Result<&[&str], ()>,
) {
    let expected = expected.map(|names| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>());
    assert_eq!(find_imports(source).map_err(drop), expected);
}
