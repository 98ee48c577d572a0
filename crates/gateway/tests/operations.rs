//! The operators' page names every event and metric that the code has.

mod support;

use std::collections::BTreeSet;
use std::path::Path;

use support::sources;

/// The words that follow `start` in the text.
fn words(text: &str, start: &str) -> BTreeSet<String> {
    let is_word = |letter: char| letter.is_ascii_lowercase() || letter == '_';
    let parts = text.split(start).skip(1);
    parts
        .map(|part| {
            part.chars()
                .take_while(|letter| is_word(*letter))
                .collect::<String>()
        })
        .filter(|word| !word.is_empty())
        .collect()
}

#[test]
fn the_page_names_every_event_and_metric() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page");
    let mut files = Vec::new();
    for folder in ["crates/gateway/src", "crates/groups/src"] {
        sources(&root.join(folder), &mut files);
    }
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source file");
        for event in words(&text, "event=") {
            assert!(
                page.contains(&format!("`{event}`")),
                "event {event} of {file:?}"
            );
        }
        for metric in words(&text, "\"bergamot_") {
            assert!(
                page.contains(&format!("`bergamot_{metric}`")),
                "metric {metric}"
            );
        }
    }
}
