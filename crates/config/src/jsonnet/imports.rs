//! Finds the imports of a Jsonnet source without parsing all of it: skips comments and strings, and extracts
//! the string that follows an import keyword.

use thiserror::Error;

/// Why the imports of a source cannot be followed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ImportError {
    /// The name of the file is a text block.
    #[error("an import by a block of text")]
    TextBlock,
    /// A string has no closing quote.
    #[error("a text without end")]
    UnterminatedString,
    /// The name leads out of the folder, or could be interpreted as another name.
    #[error("import {0:?}: only files in its own folder, by their plain names")]
    OutsideFolder(String),
}

/// Returns the file names in a source's imports, in order.
///
/// # Errors
/// [`ImportError`] if an import may not be followed, or if a string has no closing quote.
pub fn find_imports(source: &str) -> Result<Vec<String>, ImportError> {
    let mut names = Vec::new();
    let mut rest = source;
    // Whether the last word was an import keyword that only white space or comments have followed.
    let mut after_keyword = false;
    while let Some(first_char) = rest.chars().next() {
        let is_verbatim = rest.starts_with("@\"") || rest.starts_with("@'");
        if rest.starts_with("//") || first_char == '#' {
            rest = rest.find('\n').map_or("", |end| &rest[end..]);
        } else if rest.starts_with("/*") {
            rest = rest.find("*/").map_or("", |end| &rest[end + 2..]);
        } else if rest.starts_with("|||") {
            if after_keyword {
                return Err(ImportError::TextBlock);
            }
            rest = after_text_block(&rest[3..]);
        } else if is_verbatim || first_char == '"' || first_char == '\'' {
            let body = &rest[usize::from(is_verbatim) + 1..];
            let quote = if is_verbatim { rest[1..].chars().next().unwrap_or('"') } else { first_char };
            let end = closing_quote(body, quote, is_verbatim).ok_or(ImportError::UnterminatedString)?;
            if after_keyword {
                names.push(plain_file_name(&body[..end])?);
            }
            after_keyword = false;
            rest = &body[end + 1..];
        } else if first_char.is_alphanumeric() || first_char == '_' {
            let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(rest.len());
            after_keyword = matches!(&rest[..end], "import" | "importstr" | "importbin");
            rest = &rest[end..];
        } else {
            // The parser rejects everything but white space and comments between an import and its name.
            after_keyword &= first_char.is_whitespace();
            rest = &rest[first_char.len_utf8()..];
        }
    }
    Ok(names)
}

/// Returns the source after a text block, which ends at the first `|||` that only white space precedes on its
/// line.
fn after_text_block(body: &str) -> &str {
    let end = body.match_indices("|||").find(|(index, _)| {
        let line_start = body[..*index].rsplit('\n').next().unwrap_or_default();
        line_start.trim().is_empty()
    });
    end.map_or("", |(index, _)| &body[index + 3..])
}

/// Returns the index of the quote that closes a string. In a verbatim string two quotes encode one; in any
/// other string a backslash escapes the next character.
fn closing_quote(body: &str, quote: char, is_verbatim: bool) -> Option<usize> {
    let mut index = 0;
    while let Some(character) = body[index..].chars().next() {
        let next = index + character.len_utf8();
        if character == quote && is_verbatim && body[next..].starts_with(quote) {
            index = next + character.len_utf8();
        } else if character == quote {
            return Some(index);
        } else if character == '\\' && !is_verbatim {
            index = next + body[next..].chars().next().map_or(0, char::len_utf8);
        } else {
            index = next;
        }
    }
    None
}

/// Checks that an import names a file in the same folder, without escapes, and returns the name.
fn plain_file_name(text: &str) -> Result<String, ImportError> {
    let is_plain =
        !text.is_empty() && !text.contains(['/', '\\', '\0', '"', '\'']) && !text.starts_with("..");
    if is_plain {
        Ok(text.to_owned())
    } else {
        Err(ImportError::OutsideFolder(text.to_owned()))
    }
}
