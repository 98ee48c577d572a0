//! Datagrams between entry VMs. What is lost is made up for by what each VM sees itself.

use serde::{Deserialize, Serialize};

/// The largest datagram, in bytes: below what one packet of a common link holds.
pub const MAX_DATAGRAM: usize = 1_200;

/// What entry VMs tell each other.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests stand still at the leader with this id.
    Quiet {
        /// The leader.
        leader: String,
    },
}

impl PeerMessage {
    /// The message as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_else(|error| {
            log::error!("event=message_not_written reason={error:?}");
            Vec::new()
        })
    }

    /// Reads a message; none when it is of another format.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
