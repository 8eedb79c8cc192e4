//! Framing of messages on a QUIC stream: a length of four bytes, little-endian, then the message.

use anyhow::{Context as _, bail};
use quinn::{RecvStream, SendStream};
use sequoiahold_core::proto::{MAX_MESSAGE_BYTES, decode, encode};
use serde::{Serialize, de::DeserializeOwned};

/// Writes one message; fails above `MAX_MESSAGE_BYTES` bytes.
pub async fn write_message(
    stream: &mut SendStream,
    message: &impl Serialize,
) -> anyhow::Result<()> {
    let body = encode(message);
    if body.len() > MAX_MESSAGE_BYTES {
        bail!("message of {} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes", body.len());
    }
    stream.write_all(&(body.len() as u32).to_le_bytes()).await?;
    stream.write_all(&body).await?;
    Ok(())
}

/// Reads one message; rejects a length above `MAX_MESSAGE_BYTES` before it allocates memory.
pub async fn read_message<T: DeserializeOwned>(stream: &mut RecvStream) -> anyhow::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        bail!("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes");
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    decode(&body).context("malformed message")
}
