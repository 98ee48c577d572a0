//! Events come out whole however the chunks are cut.

use bergamot_engine::{SseEvent, SseParser};

#[test]
fn chunks_may_end_anywhere() {
    let text = b"id: 0\ndata: {\"a\":1}\n\n: comment\n\ndata: [DONE]\n\n";
    let whole = [
        SseEvent {
            id: Some("0".to_owned()),
            data: "{\"a\":1}".to_owned(),
        },
        SseEvent {
            id: None,
            data: "[DONE]".to_owned(),
        },
    ];
    for cut in 0..text.len() {
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            parser.push(part);
            while let Some(event) = parser.next_event() {
                events.push(event);
            }
        }
        assert_eq!(events, whole, "cut at {cut}");
    }
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| {
            let mut parser = SseParser::default();
            parser.push(bytes);
            while parser.next_event().is_some() {}
        });
}
