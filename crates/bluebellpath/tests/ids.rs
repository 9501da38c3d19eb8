//! Job ids as text, as JSON and on the wire.

use bluebellpath::job::{Id, ParseError};

struct Case {
    text: &'static str,
    parsed: Result<(), ParseError>,
}

const CASES: &[Case] = &[
    Case {
        text: "order-17",
        parsed: Ok(()),
    },
    Case {
        text: "order-17@2",
        parsed: Ok(()),
    },
    Case {
        text: "ticket.3.00000000000000ff.7",
        parsed: Ok(()),
    },
    Case {
        text: "ticket.3.ff.7",
        parsed: Err(ParseError::Ticket),
    },
    Case {
        text: "ticket.03.00000000000000ff.7",
        parsed: Err(ParseError::Ticket),
    },
    Case {
        text: "ticket.3.00000000000000FF.7",
        parsed: Err(ParseError::Ticket),
    },
    Case {
        text: "ticket.3.00000000000000ff.7.1",
        parsed: Err(ParseError::Ticket),
    },
    Case {
        text: "ticket.70000.00000000000000ff.7",
        parsed: Err(ParseError::Ticket),
    },
    Case {
        text: "",
        parsed: Err(ParseError::Key),
    },
    Case {
        text: "a b",
        parsed: Err(ParseError::Key),
    },
    Case {
        text: "a/b",
        parsed: Err(ParseError::Key),
    },
];

#[test]
fn every_id_has_one_spelling() {
    for case in CASES {
        let parsed = case.text.parse::<Id>();
        assert_eq!(parsed.clone().map(drop), case.parsed, "{}", case.text);
        let Ok(id) = parsed else { continue };
        assert_eq!(id.to_string(), case.text);
        let json = serde_json::to_string(&id).unwrap();
        assert_eq!(json, format!("\"{}\"", case.text));
        assert_eq!(serde_json::from_str::<Id>(&json).unwrap(), id);
        let wire = postcard::to_stdvec(&id).unwrap();
        assert_eq!(postcard::from_bytes::<Id>(&wire).unwrap(), id);
    }
    assert_eq!("k".repeat(129).parse::<Id>(), Err(ParseError::Key));
}

#[test]
fn a_key_on_the_wire_is_checked_like_one_at_the_door() {
    let wire = postcard::to_stdvec(&(1u32, "a b")).unwrap();
    assert!(postcard::from_bytes::<Id>(&wire).is_err());
}
