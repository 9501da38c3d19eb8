//! Serialization of rows and writes for the platform's HTTP interface.

use bluebellpath::platform::{Expect, Row, Write};
use quickcheck::quickcheck;

#[test]
fn values_travel_as_short_text() {
    let row = Row {
        version: 7,
        value: vec![255; 30],
    };
    let text = serde_json::to_string(&row).expect("plain data");
    assert_eq!(text.len(), r#"{"version":7,"value":""}"#.len() + 40);
    let broken = text.replace("////", "*///");
    assert!(serde_json::from_str::<Row>(&broken).is_err());
}

quickcheck! {
    fn writes_survive_both_formats(value: Option<Vec<u8>>) -> bool {
        let write = Write {
            key: "key".to_owned(),
            expect: Expect::Absent,
            value,
        };
        let text = serde_json::to_vec(&write).expect("plain data");
        let bytes = postcard::to_stdvec(&write).expect("plain data");
        serde_json::from_slice::<Write>(&text).ok().as_ref() == Some(&write)
            && postcard::from_bytes::<Write>(&bytes).ok().as_ref() == Some(&write)
    }
}
