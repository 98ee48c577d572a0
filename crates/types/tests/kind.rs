//! The answer table is whole, and docs/ERRORS.md says the same.

use bergamot_types::RanState;
use bergamot_types::kind::ANSWER_TABLE;

#[test]
fn rows_stand_at_their_kinds() {
    for (index, row) in ANSWER_TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index);
        assert_eq!(row.kind.answer(), row);
        let is_unknown_claim = row.status == 504 && row.ran == RanState::No;
        assert!(!is_unknown_claim || row.code == "deadline_exceeded");
    }
}

#[test]
fn the_page_matches_the_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).expect("docs/ERRORS.md is there");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let wanted: Vec<String> = ANSWER_TABLE
        .iter()
        .map(|row| {
            let retry = match row.retry_after_secs {
                0 => "-".to_owned(),
                seconds => seconds.to_string(),
            };
            let (code, status, ran) = (row.code, row.status, row.ran);
            format!(
                "| `{code}` | {status} | {ran} | {retry} | {} |",
                row.message
            )
        })
        .collect();
    assert_eq!(rows, wanted, "the page should read:\n{}", wanted.join("\n"));
}
