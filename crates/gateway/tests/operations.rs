//! Guards against events and metrics that are missing from the operators' page.

mod support;

use std::collections::BTreeSet;
use std::path::Path;

use support::source_files;

/// Returns the words that directly follow `prefix` in the text.
fn words_after(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_word = |character: char| character.is_ascii_lowercase() || character == '_';
    let parts = text.split(prefix).skip(1);
    parts
        .map(|part| {
            part.chars()
                .take_while(|character| is_word(*character))
                .collect::<String>()
        })
        .filter(|word| !word.is_empty())
        .collect()
}

#[test]
fn the_operations_page_lists_every_event_and_metric() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page =
        std::fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page is readable");
    let mut files = Vec::new();
    for folder in ["crates/gateway/src", "crates/groups/src"] {
        source_files(&root.join(folder), &mut files);
    }
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the source file is readable");
        for event in words_after(&text, "event=") {
            assert!(
                page.contains(&format!("`{event}`")),
                "event {event} of {file:?} is missing from the page"
            );
        }
        for metric in words_after(&text, "\"bergamot_") {
            assert!(
                page.contains(&format!("`bergamot_{metric}`")),
                "metric {metric} is missing from the page"
            );
        }
    }
}
