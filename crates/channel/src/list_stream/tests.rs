use proptest::prelude::*;

use super::*;

/// All items of a text that arrives in chunks of these lengths, repeated as needed.
fn split(text: &[u8], chunks: &[usize]) -> Result<Vec<Item>, SplitError> {
    let (mut splitter, mut items, mut rest) = (Splitter::default(), Vec::new(), text);
    for length in chunks.iter().cycle() {
        let (chunk, later) = rest.split_at((*length).min(rest.len()));
        splitter.push(chunk);
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
fn objects_end_at_their_last_brace_whatever_the_line_breaks() {
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
        assert_eq!(split(text.as_bytes(), &[length]), Ok(expected.to_vec()), "chunks of {length}");
    }
}

#[test]
fn unexpected_bytes_and_unfinished_objects_are_errors() {
    let fails = |text: &str| split(text.as_bytes(), &[1]).expect_err("no item");
    assert_eq!(fails("[1]\n"), SplitError::UnexpectedByte(b'['));
    assert_eq!(fails("{} x"), SplitError::UnexpectedByte(b'x'));
    assert_eq!(fails("{\"rev\":1,\n\n"), SplitError::UnfinishedObject);
    assert_eq!(fails("{\"rev\":1,\n \r\n}"), SplitError::UnfinishedObject);
}

#[test]
fn an_object_may_be_as_long_as_the_list_limit_and_no_longer() {
    let padded = |length: usize| [b"{", " ".repeat(length - 2).as_bytes(), b"}"].concat();
    for length in [MAX_LIST_BYTES - 1, MAX_LIST_BYTES] {
        let items = split(&padded(length), &[64 * 1024]).expect("an object");
        assert!(matches!(&items[..], [Item::Object(text)] if text.len() == length), "{length}");
    }
    // An object that never ends, a string that never ends, and an object one byte over the limit.
    assert_eq!(
        split(&[b"{\"".to_vec(), vec![b'a'; 2 * MAX_LIST_BYTES]].concat(), &[64 * 1024]),
        Err(SplitError::TooLong)
    );
    assert_eq!(split(&padded(2 * MAX_LIST_BYTES), &[64 * 1024]), Err(SplitError::TooLong));
    assert_eq!(split(&padded(MAX_LIST_BYTES + 1), &[MAX_LIST_BYTES + 1]), Err(SplitError::TooLong));
}

#[test]
fn whitespace_between_objects_is_not_buffered() {
    let mut splitter = Splitter::default();
    for _ in 0..1_000 {
        splitter.push(&[b' '; 10_000]);
        assert_eq!(splitter.next_item(), Ok(None));
        assert!(splitter.buffer.is_empty());
    }
}

proptest! {
    /// The items of a text don't depend on how it is cut into chunks.
    #[test]
    fn items_do_not_depend_on_the_chunks(
        lines in proptest::collection::vec("\\{(\"[a-z{}\\[\\]]{0,4}\":\"(\\\\\\\\|\\\\\"|[a-z}]){0,5}\",?\n?){0,3}\\}|", 0..6),
        chunks in proptest::collection::vec(1usize..9, 1..5),
    ) {
        let text = lines.join("\n");
        prop_assert_eq!(split(text.as_bytes(), &chunks), split(text.as_bytes(), &[text.len().max(1)]));
    }
}
