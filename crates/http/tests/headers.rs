//! Headers in one text: order, removal, renaming and copying.

use figway_http::Headers;

fn list(headers: &Headers) -> Vec<(&str, &str)> {
    headers.iter().collect()
}

fn headers_of(list: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in list {
        headers.push(name, *value);
    }
    headers
}

/// Guards against a value that is read at a wrong place of the text after others were removed,
/// renamed or added.
#[test]
fn headers_keep_their_values_when_others_change() {
    let mut headers = headers_of(&[("a", "1"), ("b", ""), ("c", "drei"), ("a", "zwei")]);
    headers.retain(|name| name != "b");
    headers.rename(|name| (name == "c").then(|| "long-name-of-c".to_owned()));
    headers.push_display("n", format_args!("{:04x}", 0xab));
    let expected = [
        ("a", "1"),
        ("long-name-of-c", "drei"),
        ("a", "zwei"),
        ("n", "00ab"),
    ];
    assert_eq!(list(&headers), expected);
    assert_eq!(headers.get("a"), Some("1"));
    assert_eq!(headers.get("b"), None);
    assert_eq!(headers.len(), 4);

    let rest = headers.split_off(2);
    assert_eq!(list(&headers), expected[..2]);
    assert_eq!(list(&rest), expected[2..]);
}

/// Guards against headers that count as different because they were built in another way.
#[test]
fn equality_depends_on_names_values_and_order_only() {
    let mut built = headers_of(&[("x", "removed"), ("a", "1"), ("old", "2")]);
    built.retain(|name| name != "x");
    built.rename(|name| (name == "old").then(|| "b".to_owned()));
    let plain = headers_of(&[("a", "1"), ("b", "2")]);
    assert_eq!(built, plain);
    assert_eq!(format!("{built:?}"), format!("{plain:?}"));
    assert_ne!(plain, headers_of(&[("b", "2"), ("a", "1")]));
    // The border between name and value counts.
    assert_ne!(headers_of(&[("ab", "c")]), headers_of(&[("a", "bc")]));
}

/// Guards against a header of one connection that reaches the next, and against one that is removed
/// although it is none.
#[test]
fn headers_of_a_connection_are_not_forwarded() {
    let headers = headers_of(&[
        ("connection", "close, X-Listed"),
        ("x-listed", "1"),
        ("te", "trailers"),
        ("content-length", "3"),
        ("x-kept", "2"),
    ]);
    assert_eq!(list(&headers.end_to_end()), [("x-kept", "2")]);
    assert!(headers.is_hop_by_hop("x-listed"));
    assert!(!headers.is_hop_by_hop("x-kept"));
    assert!(headers_of(&[]).end_to_end().is_empty());
}
