//! Frames between instances: what is let in and what is not.

use bluebellpath::peer::frame::{self, Fault, MAX_AGE_MS, MAX_BYTES};
use bluebellpath::peer::{Key, TAG_BYTES};
use quickcheck::quickcheck;

/// Wall time at which the frames of these tests are sent.
const SENT_MS: u64 = 1_800_000_000_000;

fn key() -> Key {
    Key::new("tests")
}

fn sealed() -> Vec<u8> {
    frame::seal(&key(), SENT_MS, &(7_u64, "payload")).expect("fits")
}

struct Case {
    name: &'static str,
    bytes: fn() -> Vec<u8>,
    now_ms: u64,
    fault: Fault,
}

const CASES: &[Case] = &[
    Case {
        name: "empty",
        bytes: Vec::new,
        now_ms: SENT_MS,
        fault: Fault::Truncated,
    },
    Case {
        name: "tag alone",
        bytes: || vec![0; TAG_BYTES],
        now_ms: SENT_MS,
        fault: Fault::Truncated,
    },
    Case {
        name: "last byte missing",
        bytes: || sealed()[..sealed().len() - 1].to_vec(),
        now_ms: SENT_MS,
        fault: Fault::Forged,
    },
    Case {
        name: "byte appended",
        bytes: || [sealed(), vec![0]].concat(),
        now_ms: SENT_MS,
        fault: Fault::Forged,
    },
    Case {
        name: "larger than a frame may be",
        bytes: || vec![1; MAX_BYTES + 1],
        now_ms: SENT_MS,
        fault: Fault::TooLarge,
    },
    Case {
        name: "later version",
        bytes: || [&[frame::VERSION + 1], &sealed()[1..]].concat(),
        now_ms: SENT_MS,
        fault: Fault::Version,
    },
    Case {
        name: "another key",
        bytes: || frame::seal(&Key::new("other"), SENT_MS, &(7_u64, "payload")).expect("fits"),
        now_ms: SENT_MS,
        fault: Fault::Forged,
    },
    Case {
        name: "sent too long ago",
        bytes: sealed,
        now_ms: SENT_MS + MAX_AGE_MS + 1,
        fault: Fault::Stale,
    },
    Case {
        name: "sent too far ahead",
        bytes: sealed,
        now_ms: SENT_MS - MAX_AGE_MS - 1,
        fault: Fault::Stale,
    },
    Case {
        name: "payload of another shape",
        bytes: || frame::seal(&key(), SENT_MS, &7_u64).expect("fits"),
        now_ms: SENT_MS,
        fault: Fault::Malformed,
    },
    Case {
        name: "payload with a tail",
        bytes: || frame::seal(&key(), SENT_MS, &(7_u64, "payload", 1_u8)).expect("fits"),
        now_ms: SENT_MS,
        fault: Fault::Malformed,
    },
];

#[test]
fn bad_frames_are_refused_with_their_reason() {
    for case in CASES {
        let opened = frame::open::<(u64, String)>(&key(), case.now_ms, &(case.bytes)());
        assert_eq!(opened, Err(case.fault), "{}", case.name);
    }
}

quickcheck! {
    fn frames_survive_the_way(number: u64, text: String) -> bool {
        let text: String = text.chars().take(200).collect();
        let payload = (number, text);
        let bytes = frame::seal(&key(), SENT_MS, &payload).expect("fits");
        frame::open(&key(), SENT_MS, &bytes) == Ok(payload)
    }

    fn any_changed_bit_is_noticed(at: usize, bit: u8) -> bool {
        let mut bytes = sealed();
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        frame::open::<(u64, String)>(&key(), SENT_MS, &bytes).is_err()
    }

    fn any_cut_is_noticed(at: usize) -> bool {
        let bytes = sealed();
        frame::open::<(u64, String)>(&key(), SENT_MS, &bytes[..at % bytes.len()]).is_err()
    }

    fn noise_is_refused(bytes: Vec<u8>) -> bool {
        frame::open::<(u64, String)>(&key(), SENT_MS, &bytes).is_err()
    }
}
