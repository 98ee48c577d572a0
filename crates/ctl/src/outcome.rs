//! What commands say and how they exit.

use serde_json::{Value, json};

/// Done.
pub const EXIT_OK: u8 = 0;
/// The input is unfit: a bundle with problems, a bad argument.
pub const EXIT_UNFIT: u8 = 2;
/// Another operator's roll came first.
pub const EXIT_LOST_RACE: u8 = 3;
/// Refused: the service or the entry VMs cannot be reached; nothing was changed.
pub const EXIT_REFUSED: u8 = 4;
/// Sent, and the outcome could not be learnt.
pub const EXIT_UNKNOWN: u8 = 5;
/// In force in the record, but not everywhere within the time.
pub const EXIT_NOT_EVERYWHERE: u8 = 6;

/// What a command says and how it exits.
pub struct CommandOutcome {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// The exit code.
    pub code: u8,
}

impl CommandOutcome {
    pub(crate) fn new(code: u8, text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            code,
        }
    }
}

/// What a command says that was refused.
pub(crate) fn refused(error: &anyhow::Error) -> CommandOutcome {
    let text = format!("refused, nothing was changed: {error:#}");
    let json = json!({ "refused": format!("{error:#}") });
    CommandOutcome::new(EXIT_REFUSED, text, json)
}
