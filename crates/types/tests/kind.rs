//! Tests that the error responses are complete and match docs/ERRORS.md.

use bergamot_types::RanState;
use bergamot_types::kind::ERROR_RESPONSES;

#[test]
fn each_kind_maps_to_its_own_response() {
    for (index, response) in ERROR_RESPONSES.iter().enumerate() {
        assert_eq!(response.kind as usize, index);
        assert_eq!(response.kind.response(), response);
        let is_unsent_timeout = response.status == 504 && response.ran == RanState::No;
        assert!(!is_unsent_timeout || response.code == "deadline_exceeded");
    }
}

#[test]
fn the_docs_page_matches_the_error_responses() {
    let page_path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(page_path).expect("docs/ERRORS.md is readable");
    let page_rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected_rows: Vec<String> = ERROR_RESPONSES
        .iter()
        .map(|response| {
            let retry_after = match response.retry_after_secs {
                0 => "-".to_owned(),
                seconds => seconds.to_string(),
            };
            let (code, status, ran) = (response.code, response.status, response.ran);
            format!(
                "| `{code}` | {status} | {ran} | {retry_after} | {} |",
                response.message
            )
        })
        .collect();
    assert_eq!(
        page_rows,
        expected_rows,
        "docs/ERRORS.md should contain these rows:\n{}",
        expected_rows.join("\n")
    );
}
