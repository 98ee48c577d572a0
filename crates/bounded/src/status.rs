//! Statuses that end an exchange.

use hyper::StatusCode;

/// Whether an answer with this status is the final one to a request that asked for no change of
/// protocols. Informational answers precede the final one, 101 follows only such a request (RFC 9110,
/// sections 15.2 and 15.2.2), and there are no statuses from 600 on (section 15).
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
