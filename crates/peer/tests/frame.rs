//! Bytes of any kind are read or refused, never a panic.

use bergamot_peer::{Answer, Datagram, Question, decode, encode, read_frame};
use bergamot_types::EntryId;

const ITERATIONS: usize = 20_000;

#[test]
fn any_bytes_are_refused_or_read() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _ = decode::<Datagram>(bytes);
            let _ = decode::<Question>(bytes);
            let _ = decode::<Answer>(bytes);
            // With the right head, so that the body is reached.
            let mut ours = b"BG\x01".to_vec();
            ours.extend_from_slice(bytes);
            let _ = decode::<Datagram>(&ours);
            let _ = decode::<Question>(&ours);
            let _ = decode::<Answer>(&ours);
        });
}

#[test]
fn any_stream_is_refused_or_read() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let mut stream = bytes.as_slice();
            let _ = runtime.block_on(read_frame::<Question, _>(&mut stream));
        });
}

struct HeadCase {
    name: &'static str,
    head: &'static [u8],
}

#[test]
fn other_heads_are_refused() {
    let cases = [
        HeadCase {
            name: "nothing",
            head: b"",
        },
        HeadCase {
            name: "another protocol",
            head: b"GET / HTTP/1.1",
        },
        HeadCase {
            name: "another version",
            head: b"BG\x02",
        },
    ];
    for case in cases {
        assert!(decode::<Question>(case.head).is_err(), "{}", case.name);
    }
}

#[test]
fn messages_come_back_as_they_went() {
    let question = Question::Copy {
        epoch: 7,
        owner: EntryId::new("entry-1"),
        change: bergamot_claims::CopyChange::Drop(
            bergamot_claims::ClaimKey(9),
            bergamot_claims::ClaimSerial { epoch: 7, count: 3 },
        ),
    };
    let bytes = encode(&question).expect("it is small");
    assert_eq!(decode::<Question>(&bytes).expect("it is ours"), question);
}
