//! The account as text.

use std::fmt::Write;

use super::{EndCounts, RequestAccount, RequestEnd};

/// Seconds that are listed as the worst ones.
const WORST_SECONDS: usize = 8;

/// The account for people.
pub fn to_text(account: &RequestAccount) -> String {
    let mut text = String::new();
    write_ends(&mut text, account);
    write_counts(&mut text, "refusals by kind", &account.refusals);
    write_counts(&mut text, "streams broken off, by reason", &account.breaks);
    for (route, stages) in &account.stages {
        let _ = writeln!(
            text,
            "\nstages of {route}, ms: half, 95 and 99 in 100 below"
        );
        for (stage, [half, most, nearly_all]) in stages.quantiles() {
            let _ = writeln!(text, "  {stage:<12}{half:>7}{most:>7}{nearly_all:>7}");
        }
    }
    write_worst(&mut text, account);
    let _ = writeln!(text, "\nlines without an event: {}", account.unread_lines);
    text
}

fn write_ends(text: &mut String, account: &RequestAccount) {
    let _ = write!(text, "{:<16}", "route");
    for end in RequestEnd::ALL {
        let _ = write!(text, "{:>12}", end.as_str());
    }
    let _ = writeln!(text);
    for (route, counts) in &account.routes {
        let _ = write!(text, "{route:<16}");
        for end in RequestEnd::ALL {
            let _ = write!(text, "{:>12}", count(counts, end));
        }
        let _ = writeln!(text);
    }
}

fn write_counts(text: &mut String, title: &str, counts: &indexmap::IndexMap<String, u64>) {
    if counts.is_empty() {
        return;
    }
    let mut rows: Vec<_> = counts.iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let _ = writeln!(text, "\n{title}");
    for (name, count) in rows {
        let _ = writeln!(text, "  {count:>7}  {name}");
    }
}

fn write_worst(text: &mut String, account: &RequestAccount) {
    let mut seconds: Vec<_> = account.seconds.iter().collect();
    seconds.sort_by_key(|(second, counts)| (std::cmp::Reverse(missed(counts)), **second));
    seconds.truncate(WORST_SECONDS);
    let _ = writeln!(text, "\nworst seconds: not in time, of all");
    for (second, counts) in seconds {
        let all: u64 = counts.values().sum();
        let _ = writeln!(text, "  {second:>5} s {:>7} of {all}", missed(counts));
    }
}

/// Requests that were not served in time, but for those whose callers left.
pub(super) fn missed(counts: &EndCounts) -> u64 {
    let ends = counts.iter();
    let missed =
        ends.filter(|(end, _)| !matches!(end, RequestEnd::InTime | RequestEnd::CallerLeft));
    missed.map(|(_, count)| count).sum()
}

/// How many came to this end.
pub(super) fn count(counts: &EndCounts, end: RequestEnd) -> u64 {
    counts.get(&end).copied().unwrap_or_default()
}
