//! How messages become bytes.
//!
//! Every message starts with a magic number and a version. A message of another version is
//! refused as a whole: entry VMs are replaced often enough that two versions meet only for the
//! length of a roll-out, in which they serve without each other's news.

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The first two bytes of every message.
const MAGIC: [u8; 2] = *b"BG";
/// The version of all messages.
pub const VERSION: u8 = 2;
/// The largest frame, in bytes: a bundle of a megabyte with room.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum Error {
    #[error("not a message of ours")]
    NotOurs,
    #[error("a message of version {0}")]
    Version(u8),
    #[error("a message of {0} bytes is too large")]
    TooLarge(usize),
    #[error("the message cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Encodes a message with magic number and version.
///
/// # Errors
/// [`Error::TooLarge`] over [`MAX_FRAME_BYTES`].
pub fn encode<Message>(message: &Message) -> Result<Vec<u8>, Error>
where
    Message: Serialize,
{
    let start = vec![MAGIC[0], MAGIC[1], VERSION];
    let bytes = postcard::to_extend(message, start)?;
    match bytes.len() <= MAX_FRAME_BYTES {
        true => Ok(bytes),
        false => Err(Error::TooLarge(bytes.len())),
    }
}

/// Decodes a message. Never panics, whatever the bytes.
///
/// # Errors
/// For anything but a whole message of this version.
pub fn decode<Message>(bytes: &[u8]) -> Result<Message, Error>
where
    Message: DeserializeOwned,
{
    let [first, second, version, rest @ ..] = bytes else {
        return Err(Error::NotOurs);
    };
    if [*first, *second] != MAGIC {
        return Err(Error::NotOurs);
    }
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    Ok(postcard::from_bytes(rest)?)
}

/// Reads one frame: a length of four bytes, then the message.
///
/// # Errors
/// When the connection ends or the frame is too large or malformed.
pub async fn read_frame<Message, Stream>(stream: &mut Stream) -> Result<Message, Error>
where
    Message: DeserializeOwned,
    Stream: AsyncRead + Unpin,
{
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(length));
    }
    // Grows with what arrives, so that a false length costs no memory.
    let mut bytes = Vec::with_capacity(length.min(64 << 10));
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    decode(&bytes)
}

/// Writes one frame.
///
/// # Errors
/// When the connection fails or the message is too large.
pub async fn write_frame<Message, Stream>(
    stream: &mut Stream,
    message: &Message,
) -> Result<(), Error>
where
    Message: Serialize,
    Stream: AsyncWrite + Unpin,
{
    let bytes = encode(message)?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await?;
    Ok(stream.flush().await?)
}
