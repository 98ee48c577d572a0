//! One line of a process's log: key=value pairs.

use indexmap::IndexMap;

/// A line, taken apart.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LogLine {
    /// When it was written, in milliseconds of the VM's time of day; none in a line that does not
    /// say.
    pub at: Option<u64>,
    /// What happened.
    pub event: String,
    /// The other pairs, in their order.
    pub fields: IndexMap<String, String>,
    /// The line as it stands.
    pub text: String,
}

impl LogLine {
    /// Takes a line apart. None when it names no event. What stands before the first pair, such as a
    /// collector's own stamp, is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields: IndexMap<String, String> = pairs(text).collect();
        let event = fields.shift_remove("event")?;
        let at = fields.shift_remove("at").and_then(|at| at.parse().ok());
        Some(Self {
            at,
            event,
            fields,
            text: text.to_owned(),
        })
    }

    /// The value of a field, empty if it is absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Whether a field is this name, or lists it among others.
    pub fn names(&self, name: &str) -> bool {
        let is_boundary = |it: char| !(it.is_ascii_alphanumeric() || matches!(it, '-' | '.' | '_'));
        self.fields
            .values()
            .any(|value| value.split(is_boundary).any(|part| part == name))
    }
}

/// The pairs of a line. A value that begins with a quote or a bracket goes on to its end.
fn pairs(text: &str) -> impl Iterator<Item = (String, String)> {
    let mut rest = text;
    std::iter::from_fn(move || {
        loop {
            rest = rest.trim_start();
            let end = rest.find([' ', '='])?;
            let (name, after) = rest.split_at(end);
            let Some(value) = after.strip_prefix('=') else {
                rest = after;
                continue;
            };
            let length = value_length(value);
            rest = &value[length..];
            let value = value[..length].trim_matches('"');
            return Some((name.to_owned(), value.to_owned()));
        }
    })
}

/// Bytes of the value at the start of this text. Spaces within quotes and brackets belong to it.
fn value_length(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut is_quoted = false;
    for (index, letter) in text.char_indices() {
        match letter {
            '"' => is_quoted = !is_quoted,
            '[' | '(' | '{' if !is_quoted => depth += 1,
            ']' | ')' | '}' if !is_quoted => depth = depth.saturating_sub(1),
            ' ' if !is_quoted && depth == 0 => return index,
            _ => {}
        }
    }
    text.len()
}
