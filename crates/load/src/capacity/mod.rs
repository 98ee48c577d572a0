//! What each role costs as the fleet grows: measured at several sizes, fitted with a line.

pub mod decisions;
pub mod fit;

pub use decisions::{CapacityRow, full_size, slopes};
pub use fit::LineFit;
