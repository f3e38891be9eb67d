//! Parsing of request headers. Invalid values must be reported with the name of the header.

use ladderstage_daemon::http::outcome::{CallerHeaders, RequestError};
use proptest::prelude::*;
use rocket::http::{Header, HeaderMap};

fn read(headers: &[(&str, &str)]) -> CallerHeaders {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.add(Header::new(name.to_string(), value.to_string()));
    }
    CallerHeaders::read(&map)
}

#[test]
fn valid_headers_are_parsed() {
    let options = read(&[
        ("idempotency-key", "a/b=="),
        ("Ladderstage-Deadline-Ms", "1500"),
        ("Ladderstage-Class", "desk"),
        ("Ladderstage-Request-Id", "quote-7"),
    ])
    .options
    .unwrap();
    assert_eq!(options.idempotency_key.as_deref(), Some("a/b=="));
    assert!(options.at_most_once, "implied by the idempotency key");
    assert_eq!(options.deadline.unwrap().as_millis(), 1500);
    assert_eq!(options.class, "desk");
    assert_eq!(options.id.caller_id(), "quote-7");
    let plain = read(&[]).options.unwrap();
    assert_eq!((plain.class.as_str(), plain.at_most_once), ("live", false));
}

#[test]
fn invalid_headers_are_reported_by_name() {
    let long = "x".repeat(200);
    let cases = [
        ("Ladderstage-At-Most-Once", "yes"),
        ("Ladderstage-At-Most-Once", ""),
        ("Ladderstage-Deadline-Ms", "0"),
        ("Ladderstage-Deadline-Ms", "+5"),
        ("Ladderstage-Deadline-Ms", "99999999999999999999"),
        ("Ladderstage-Class", "a b"),
        ("Ladderstage-Request-Id", "a\"b"),
        ("Idempotency-Key", long.as_str()),
        ("Idempotency-Key", "ключ"),
    ];
    for (name, value) in cases {
        let error = read(&[(name, value)]).options.unwrap_err();
        let RequestError::Header { header, .. } = error else {
            panic!("{error:?}");
        };
        assert_eq!(header, name, "{value}");
    }
    let repeated = read(&[("Idempotency-Key", "a"), ("Idempotency-Key", "b")]);
    assert!(repeated.options.is_err());
}

proptest! {
    #[test]
    fn arbitrary_header_values_are_parsed_or_rejected(value in ".{0,160}") {
        for name in ["Ladderstage-Request-Id", "Idempotency-Key", "Ladderstage-Deadline-Ms", "Ladderstage-Class"] {
            let caller = read(&[(name, &value)]);
            prop_assert!(caller.id.caller_id().len() <= 64);
            if let Ok(options) = caller.options {
                prop_assert!(options.class.is_ascii() && options.idempotency_key.unwrap_or_default().is_ascii());
            }
        }
    }
}
