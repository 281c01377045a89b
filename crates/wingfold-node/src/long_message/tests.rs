//! What is kept of long messages.

use super::*;

fn reduce(text: &str) -> Result<String, SyntaxError> {
    let mut message = LongMessage::new();
    message.push(text.as_bytes())?;
    Ok(String::from_utf8(message.finish()?.to_vec()).unwrap())
}

#[test]
fn known_fields_are_kept_and_all_others_left_out() {
    let padding = "x".repeat(5000);
    let text = format!(
        r#"{{"{padding}":1, "type":"LOAD","new":{{"site":"b","deep":{{"util":1}}}},"lines":[[0],{{"id":1}}],
        "util":{{"inflight":7,"{padding}":[1],"queue":{{"a":[{{}}]}},"new":"{padding}"}} , "mean":null,
        "t\u0061rget":"s-\"1\"","site":"a{{"}}"#
    );
    let expected = concat!(
        r#"{"type":"LOAD","util":{"inflight":7,"queue":{}},"mean":null,"#,
        r#""t\u0061rget":"s-\"1\"","site":"a{"}"#
    );
    assert_eq!(reduce(&text).unwrap(), expected);
}

#[test]
fn values_that_no_field_can_have_are_replaced() {
    let long = "x".repeat(MAX_SCALAR_BYTES);
    let text = format!(r#"{{"site":"{long}","type":"PING","id":[1,[2]],"ms":{}}}"#, "1".repeat(5000));
    assert_eq!(reduce(&text).unwrap(), r#"{"site":[],"type":"PING","id":[],"ms":[]}"#);
}

#[test]
fn message_that_repeats_its_fields_is_not_kept() {
    let text = format!(r#"{{{}"type":"PING"}}"#, r#""id":1,"#.repeat(100_000));
    assert_eq!(reduce(&text).unwrap(), "{}");
}

/// Guards against a fault of a trial: hundreds of messages that repeat known fields took the director to the
/// limit of 32 MB, since 16 KiB of each were kept.
#[test]
fn a_thousand_unfinished_messages_fit_into_a_quarter_of_the_least_memory() {
    const MAX_BYTES_EACH: usize = (32 << 20) / 4 / 1024;
    for field in [r#""id":1,"#, r#""util":{"util":1},"#, r#""site":"0123456789","#] {
        let mut message = LongMessage::new();
        message.push(b"{").unwrap();
        for _ in 0..10_000 {
            message.push(field.as_bytes()).unwrap();
        }
        let bytes = size_of::<LongMessage>() + message.kept.capacity() + message.key.capacity();
        assert!(bytes <= MAX_BYTES_EACH, "{field}: {bytes} bytes");
    }
}

#[test]
fn only_a_complete_object_is_a_message() {
    for text in ["[]", "7", "\"a\"", "{", "{}x", "{\"a\":[}", "", "{} {}"] {
        assert!(reduce(text).is_err(), "{text}");
    }
    assert_eq!(reduce(" {} ").unwrap(), "{}");
}
