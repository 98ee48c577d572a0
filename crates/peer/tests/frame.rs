//! Arbitrary bytes are decoded or rejected without a panic, and messages survive a round trip.

use bergamot_peer::{
    Answer, Datagram, PeerNotice, Question, StoreUpdates, UpdateResponse, decode, encode,
    read_frame,
};
use bergamot_ports::{StoreEvent, StoreGeneration, StoreItem, StoreRevision};
use bergamot_quota::{LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitVerdict};
use bergamot_types::prelude::*;
use bergamot_warmup::{ColdAnswer, ColdQuestion, ColdVerdict};

const ITERATIONS: usize = 20_000;

#[test]
fn arbitrary_bytes_do_not_panic_the_decoder() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let _ = decode::<Datagram>(bytes);
            let _ = decode::<Question>(bytes);
            let _ = decode::<Answer>(bytes);
            // Valid headers let the bytes reach the decoder of the body, plain and compressed.
            for header in [b"BG\x02\x00", b"BG\x02\x01"] {
                let mut message = header.to_vec();
                message.extend_from_slice(bytes);
                let _ = decode::<Datagram>(&message);
                let _ = decode::<Question>(&message);
                let _ = decode::<Answer>(&message);
            }
        });
}

#[test]
fn arbitrary_streams_do_not_panic_the_frame_reader() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("runtime starts");
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let mut stream = bytes.as_slice();
            let _ = runtime.block_on(read_frame::<Question, _>(&mut stream));
        });
}

struct HeaderCase {
    name: &'static str,
    header: &'static [u8],
}

#[test]
fn invalid_headers_are_rejected() {
    let cases = [
        HeaderCase {
            name: "empty message",
            header: b"",
        },
        HeaderCase {
            name: "another protocol",
            header: b"GET / HTTP/1.1",
        },
        HeaderCase {
            name: "another version",
            header: b"BG\x01\x00",
        },
        HeaderCase {
            name: "unknown encoding",
            header: b"BG\x02\x02",
        },
        HeaderCase {
            name: "compressed message with a claimed size of four gigabytes",
            header: b"BG\x02\x01\xff\xff\xff\xff\x00",
        },
    ];
    for case in cases {
        assert!(decode::<Question>(case.header).is_err(), "{}", case.name);
    }
}

#[test]
fn messages_survive_a_round_trip() {
    let question = Question::Copy {
        epoch: 7,
        owner: EntryId::new("entry-1"),
        change: bergamot_claims::CopyChange::Drop(
            bergamot_claims::ClaimKey(9),
            bergamot_claims::ClaimSerial { epoch: 7, count: 3 },
        ),
    };
    let bytes = encode(&question).expect("message fits into a frame");
    assert_eq!(
        decode::<Question>(&bytes).expect("encoded message is valid"),
        question
    );
}

/// Without compression, the updates about 1,100 upstreams that a starting VM reads take 0.14 s at
/// 20 Mbit/s.
#[test]
fn updates_of_the_whole_directory_are_compressed_to_a_sixth() {
    let entry = |number: u64| {
        let id = format!("i-{:010x}", hash_bytes(&number.to_le_bytes()) >> 24);
        let value = format!(
            r#"{{"service":"engines","address":"10.{}.{}.{}:8080","zone":"east-{}","version":"v1","slots":22,"state":"ready","spare_text":0,"phase":"both","models":[{{"name":"large","version":1,"adapters":[]}}],"sequence":{number},"domain":"east-d{}","staged":["large"],"group":{{"name":"large.{}","epoch":{},"rank":{},"state":"ready"}}}}"#,
            number % 5,
            number % 200,
            number % 250,
            number % 5,
            number / 73,
            number / 32,
            number / 32,
            number % 32
        );
        StoreEvent::Written(StoreItem {
            key: format!("servers/{id}"),
            value: value.into_bytes(),
            revision: StoreRevision::new(StoreGeneration(0), number),
        })
    };
    let updates = UpdateResponse::Changes(Box::new(StoreUpdates {
        changes: (0..1_100).map(entry).collect(),
        revision: StoreRevision::new(StoreGeneration(0), 1_100),
        has_more: false,
        reached: StoreRevision::new(StoreGeneration(0), 1_100),
        is_relayed: false,
        age: Millis::ZERO,
        config_version: 0,
        config: None,
        config_age: Millis::ZERO,
        since_return: None,
        since_restore: None,
        retained_evacuations: Vec::new(),
        evacuation_ends: Vec::new(),
    }));
    let uncompressed_bytes = 1_100 * 310;
    let encoded = encode(&updates).expect("message fits into a frame");
    println!("{} bytes", encoded.len());
    assert!(
        encoded.len() * 6 < uncompressed_bytes,
        "{} bytes",
        encoded.len()
    );
    assert_eq!(
        decode::<UpdateResponse>(&encoded).expect("encoded message is valid"),
        updates
    );
}

/// The permit exchange before each request to an upstream with a limit must be small compared to
/// the request itself.
#[test]
fn permit_question_and_answer_fit_into_two_small_datagrams() {
    const MAX_BYTES: usize = 200;
    let question = PeerNotice::PermitQuestion(PermitQuestion {
        vm: "front-hodmezo-ring-39".to_owned(),
        number: u64::MAX,
        report: LimitReport {
            incarnation: UpstreamIncarnation::new(
                UpstreamId::new("i-0d194598d5"),
                Some(UnixMillis(1_777_805_977_011)),
            ),
            failure_domain: FailureDomain::new("hodmezo-ring"),
            rate: Some(SendRate::from_milli(1_900)),
            sent_age: Millis(600_000),
            received_age: Millis(600_000),
        },
        claim: PermitClaim {
            priority: 9,
            account: u32::MAX,
        },
    });
    let answer = PeerNotice::PermitAnswer(PermitAnswer {
        number: u64::MAX,
        verdict: PermitVerdict::Later(Millis(2_000)),
    });
    let question_bytes = encode(&question).expect("message fits into a frame").len();
    let answer_bytes = encode(&answer).expect("message fits into a frame").len();
    println!("{question_bytes} and {answer_bytes} bytes");
    assert!(
        question_bytes + answer_bytes <= MAX_BYTES,
        "{question_bytes} and {answer_bytes} bytes"
    );
}

/// Versions without the notices for cold upstreams decode the earlier ones by their position, which
/// follows the header of four bytes.
#[test]
fn notices_for_cold_upstreams_come_after_all_earlier_ones() {
    let question = PeerNotice::ColdQuestion(ColdQuestion {
        vm: "front-hodmezo-ring-39".to_owned(),
        number: 1,
        incarnation: UpstreamIncarnation::new(UpstreamId::new("i-0d194598d5"), None),
    });
    let answer = PeerNotice::ColdAnswer(ColdAnswer {
        number: 1,
        verdict: ColdVerdict::Granted,
    });
    for (position, notice) in [(7, question), (8, answer)] {
        let bytes = encode(&notice).expect("message fits into a frame");
        assert_eq!(bytes[4], position);
        assert_eq!(decode::<PeerNotice>(&bytes).expect("it is valid"), notice);
    }
}
