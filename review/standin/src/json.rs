//! The little JSON that the stand-in store needs: finding the raw text of a member.

/// Returns the raw text of a member of a JSON object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        match bytes.get(at) {
            Some(b',') => at += 1,
            _ => return None,
        }
    }
}

/// Returns the text of a string member, without its quotes.
pub fn string<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    member(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a numeric member.
pub fn number(text: &str, name: &str) -> Option<u64> {
    member(text, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut in_string = false;
    let mut at = at;
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    (depth == 0 && !in_string).then_some(at)
}
