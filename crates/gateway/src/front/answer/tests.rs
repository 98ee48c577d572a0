use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::{AnswerMessage, streamed_body};

struct EndCase {
    name: &'static str,
    last: Option<AnswerMessage>,
    is_complete: bool,
}

#[tokio::test]
async fn only_an_answer_whose_end_was_sent_is_complete() {
    let cases = [
        EndCase {
            name: "the end was sent",
            last: Some(AnswerMessage::End),
            is_complete: true,
        },
        EndCase {
            name: "broken off",
            last: Some(AnswerMessage::Broken),
            is_complete: false,
        },
        EndCase {
            name: "the sender is gone",
            last: None,
            is_complete: false,
        },
    ];
    for case in cases {
        let (sender, receiver) = mpsc::channel(2);
        let mut body = streamed_body(receiver);
        let chunk = AnswerMessage::Chunk(Bytes::from_static(b"data"));
        sender.send(chunk).await.expect("the body is alive");
        if let Some(last) = case.last {
            sender.send(last).await.expect("the body is alive");
        }
        drop(sender);
        let first = body.frame().await.expect("a frame");
        assert!(first.is_ok_and(|frame| frame.is_data()), "{}", case.name);
        let end = body.frame().await;
        assert_eq!(end.is_none(), case.is_complete, "{}", case.name);
        if !case.is_complete {
            assert!(end.is_some_and(|end| end.is_err()), "{}", case.name);
            assert!(body.frame().await.is_none(), "{}", case.name);
        }
    }
}
