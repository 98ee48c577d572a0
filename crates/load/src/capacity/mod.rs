//! What each role costs as the fleet grows: measured at several sizes, fitted with a line.

pub mod decisions;
pub mod fit;
mod fixture;
pub mod row;

pub use decisions::{full_size, slopes};
pub use fit::LineFit;
pub use row::CapacityRow;
