//! Panics of tasks, as errors.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use futures::FutureExt;

/// A future panicked.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct TaskPanic(String);

impl From<Box<dyn Any + Send>> for TaskPanic {
    fn from(payload: Box<dyn Any + Send>) -> Self {
        let literal = payload.downcast_ref::<&str>().copied();
        let formatted = || payload.downcast_ref::<String>().map(String::as_str);
        let reason = literal.or_else(formatted).unwrap_or("unknown");
        Self(reason.to_owned())
    }
}

/// Awaits a future.
///
/// # Errors
/// [`TaskPanic`] if it panics.
pub async fn catch_panic<Running>(running: Running) -> Result<Running::Output, TaskPanic>
where
    Running: Future,
{
    // State that tasks share is borrowed between two awaits only, and a panic ends the borrow.
    let caught = AssertUnwindSafe(running).catch_unwind().await;
    caught.map_err(TaskPanic::from)
}
