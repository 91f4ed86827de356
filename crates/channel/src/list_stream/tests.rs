use proptest::prelude::*;

use super::*;

/// All items of a text that comes in pieces of these lengths, over and over.
fn split(text: &[u8], pieces: &[usize]) -> Result<Vec<Item>, SplitError> {
    let (mut splitter, mut items, mut rest) = (Splitter::default(), Vec::new(), text);
    for length in pieces.iter().cycle() {
        let (piece, later) = rest.split_at((*length).min(rest.len()));
        splitter.push(piece);
        while let Some(item) = splitter.next_item()? {
            items.push(item);
        }
        rest = later;
        if rest.is_empty() {
            break;
        }
    }
    Ok(items)
}

fn object(text: &str) -> Item {
    Item::Object(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn objects_end_with_their_last_brace_however_their_lines_end() {
    let indented = "{\n  \"rev\": 1,\n  \"targets\": [\n    {\"uid\": \"}{\\\"\\\\\"}\n    ,{}\n  ]\n}";
    let text = format!("\n{{\"rev\":1}}\n\n{indented}\r\n{{\"a\":[]}}{{\"b\":\"\\n\"}} \n \t\n");
    let expected = [
        Item::Heartbeat,
        object("{\"rev\":1}"),
        Item::Heartbeat,
        object(indented),
        object("{\"a\":[]}"),
        object("{\"b\":\"\\n\"}"),
        Item::Heartbeat,
    ];
    for length in 1..text.len() {
        assert_eq!(split(text.as_bytes(), &[length]), Ok(expected.to_vec()), "pieces of {length}");
    }
}

#[test]
fn what_begins_no_object_and_objects_that_stop_are_errors() {
    let fails = |text: &str| split(text.as_bytes(), &[1]).expect_err("no item");
    assert_eq!(fails("[1]\n"), SplitError::NoObject(b'['));
    assert_eq!(fails("{} x"), SplitError::NoObject(b'x'));
    assert_eq!(fails("{\"rev\":1,\n\n"), SplitError::CutOff);
    assert_eq!(fails("{\"rev\":1,\n \r\n}"), SplitError::CutOff);
}

#[test]
fn an_object_may_be_as_long_as_a_list_and_no_longer() {
    let padded = |length: usize| [b"{", " ".repeat(length - 2).as_bytes(), b"}"].concat();
    for length in [MAX_LIST_BYTES - 1, MAX_LIST_BYTES] {
        let items = split(&padded(length), &[64 * 1024]).expect("an object");
        assert!(matches!(&items[..], [Item::Object(text)] if text.len() == length), "{length}");
    }
    // One that never ends, a string that never ends, and one more byte than there may be.
    assert_eq!(
        split(&[b"{\"".to_vec(), vec![b'a'; 2 * MAX_LIST_BYTES]].concat(), &[64 * 1024]),
        Err(SplitError::TooLong)
    );
    assert_eq!(split(&padded(2 * MAX_LIST_BYTES), &[64 * 1024]), Err(SplitError::TooLong));
    assert_eq!(split(&padded(MAX_LIST_BYTES + 1), &[MAX_LIST_BYTES + 1]), Err(SplitError::TooLong));
}

#[test]
fn spaces_between_objects_are_not_held() {
    let mut splitter = Splitter::default();
    for _ in 0..1_000 {
        splitter.push(&[b' '; 10_000]);
        assert_eq!(splitter.next_item(), Ok(None));
        assert!(splitter.held.is_empty());
    }
}

proptest! {
    /// However a text is cut into pieces, the same items come of it.
    #[test]
    fn pieces_make_no_difference(
        lines in proptest::collection::vec("\\{(\"[a-z{}\\[\\]]{0,4}\":\"(\\\\\\\\|\\\\\"|[a-z}]){0,5}\",?\n?){0,3}\\}|", 0..6),
        pieces in proptest::collection::vec(1usize..9, 1..5),
    ) {
        let text = lines.join("\n");
        prop_assert_eq!(split(text.as_bytes(), &pieces), split(text.as_bytes(), &[text.len().max(1)]));
    }
}
