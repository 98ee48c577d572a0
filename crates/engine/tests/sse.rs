//! Server-sent events are parsed completely wherever chunks are split.

use bergamot_engine::{SseEvent, SseParser};

#[test]
fn events_are_parsed_wherever_chunks_are_split() {
    let text = b"id: 0\ndata: {\"a\":1}\n\n: comment\n\ndata: [DONE]\n\n";
    let expected = [
        SseEvent {
            id: Some("0".to_owned()),
            data: "{\"a\":1}".to_owned(),
        },
        SseEvent {
            id: None,
            data: "[DONE]".to_owned(),
        },
    ];
    for split_at in 0..text.len() {
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        for chunk in [&text[..split_at], &text[split_at..]] {
            parser.push(chunk);
            while let Some(event) = parser.next_event() {
                events.push(event);
            }
        }
        assert_eq!(events, expected, "split at byte {split_at}");
    }
}

#[test]
fn arbitrary_bytes_do_not_panic_the_parser() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let mut parser = SseParser::default();
            parser.push(bytes);
            while parser.next_event().is_some() {}
        });
}
