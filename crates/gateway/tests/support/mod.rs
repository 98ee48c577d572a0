//! What several test files use.

use std::path::{Path, PathBuf};

/// Every source file below a folder.
pub fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("the folder is there") {
        let path = entry.expect("it can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}
