/*!
Encoding of messages on a connection.

In the handshake each side sends a nonce and proves that it holds the shared key
by a tag under the session key, which is derived from both nonces. A message is
its length, a postcard payload and a tag under the session key over direction,
sequence number and payload. A recorded stream is therefore invalid on any later
connection, and within a connection no message can be replayed, dropped or
reflected.
*/

use std::time::Duration;

use bluebellpath_fleet::messages::ClockReading;
use bluebellpath_runtime::clock;
use derive_more::{Display, Error};
use monoio::{
    io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt},
    net::TcpStream,
};
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::peer::{
    Reply, Request,
    key::{Key, TAG_BYTES},
};

/// Protocol version of the messages of this build.
const VERSION: u8 = 6;

/// Size in bytes of the nonce of one side.
const NONCE_BYTES: usize = 16;

/// Size in bytes of the length prefix.
const LENGTH_BYTES: usize = 4;

/// First byte of an encoded [`CallerMessage::Call`].
const CALL_VARIANT: u8 = 0;

/// Reason why a connection failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The other side closed it.
    #[display("connection closed")]
    Closed,
    /// A timeout expired.
    #[display("timed out")]
    TimedOut,
    /// The other side uses another protocol version.
    #[display("unknown version")]
    Version,
    /// The other side does not hold the shared key, or bytes were changed.
    #[display("wrong tag")]
    Forged,
    /// Message larger than the limit.
    #[display("message too large")]
    TooLarge,
    /// Message that can't be decoded.
    #[display("malformed message")]
    Malformed,
}

/// Message of the calling side.
#[derive(Serialize, Deserialize)]
pub(super) enum CallerMessage {
    /// Call with its number. The caller encodes it with [`encode_call`].
    Call(u64, Request),
    /// Asks for [`ServerMessage::Alive`]. Tells the least that the server's clocks can
    /// show now.
    Probe(ClockReading),
}

/// Message of the serving side.
#[derive(Serialize, Deserialize)]
pub(super) enum ServerMessage {
    /// Reply to the call with that number.
    Reply(u64, Reply),
    /// Reply to a probe, with the server's clocks.
    Alive(ClockReading),
}

/// Encodes a [`CallerMessage::Call`] of an encoded request.
pub(super) fn encode_call(number: u64, request: &[u8]) -> Vec<u8> {
    let mut message = vec![CALL_VARIANT];
    message.extend(postcard::to_stdvec(&number).unwrap_or_default());
    message.extend_from_slice(request);
    message
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Opened the connection.
    Caller,
    /// Accepted the connection.
    Server,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Caller => Side::Server,
            Side::Server => Side::Caller,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Side::Caller => b"caller",
            Side::Server => b"server",
        }
    }
}

/// Performs the handshake within `limit` and returns the session key.
pub(super) async fn handshake(
    stream: &mut TcpStream,
    side: Side,
    key: &Key,
    limit: Duration,
) -> Result<Key, Fault> {
    let exchanging = exchange_nonces(stream, side, key);
    clock::timeout(limit, exchanging)
        .await
        .ok_or(Fault::TimedOut)?
}

async fn exchange_nonces(stream: &mut TcpStream, side: Side, key: &Key) -> Result<Key, Fault> {
    let own_nonce: [u8; NONCE_BYTES] = rand::rng().random();
    let mut hello = vec![VERSION];
    hello.extend_from_slice(&own_nonce);
    write(stream, hello).await?;
    let hello = read(stream, 1 + NONCE_BYTES).await?;
    if hello[0] != VERSION {
        return Err(Fault::Version);
    }
    let (caller, server) = match side {
        Side::Caller => (&own_nonce[..], &hello[1..]),
        Side::Server => (&hello[1..], &own_nonce[..]),
    };
    let session = key.session(caller, server);
    write(stream, session.tag(&[side.label()]).to_vec()).await?;
    let peer_tag = read(stream, TAG_BYTES).await?;
    match session.verify(&[side.other().label()], &peer_tag) {
        true => Ok(session),
        false => Err(Fault::Forged),
    }
}

async fn write(io: &mut impl AsyncWriteRent, bytes: Vec<u8>) -> Result<(), Fault> {
    let (written, _) = io.write_all(bytes).await;
    written.map(drop).map_err(|_| Fault::Closed)
}

async fn read(io: &mut impl AsyncReadRent, length: usize) -> Result<Vec<u8>, Fault> {
    let (read, bytes) = io.read_exact(vec![0; length]).await;
    read.map_err(|_| Fault::Closed)?;
    Ok(bytes)
}

/// Writing half of a connection.
pub(super) struct Writer<W> {
    io: W,
    key: Key,
    side: Side,
    number: u64,
    limit: Duration,
}

impl<W: AsyncWriteRent> Writer<W> {
    pub(super) fn new(io: W, key: Key, side: Side, limit: Duration) -> Writer<W> {
        Writer {
            io,
            key,
            side,
            number: 0,
            limit,
        }
    }

    /// Writes a payload made by [`encode`].
    pub(super) async fn write(&mut self, payload: Vec<u8>) -> Result<(), Fault> {
        let tag = tag(&self.key, self.side, self.number, &payload);
        self.number += 1;
        let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&payload);
        bytes.extend_from_slice(&tag);
        let writing = write(&mut self.io, bytes);
        clock::timeout(self.limit, writing)
            .await
            .ok_or(Fault::TimedOut)?
    }
}

/// Reading half of a connection.
pub(super) struct Reader<R> {
    io: R,
    key: Key,
    side: Side,
    number: u64,
    limit: Duration,
    max_bytes: usize,
}

impl<R: AsyncReadRent> Reader<R> {
    pub(super) fn new(io: R, key: Key, side: Side, limit: Duration, max_bytes: usize) -> Reader<R> {
        Reader {
            io,
            key,
            side: side.other(),
            number: 0,
            limit,
            max_bytes,
        }
    }

    /// Reads the next message; waits up to `idle` for its length.
    pub(super) async fn read<T: DeserializeOwned>(&mut self, idle: Duration) -> Result<T, Fault> {
        let length = clock::timeout(idle, read(&mut self.io, LENGTH_BYTES))
            .await
            .ok_or(Fault::TimedOut)??;
        let length = length
            .try_into()
            .map_or(usize::MAX, |it| u32::from_le_bytes(it) as usize);
        if length > self.max_bytes {
            return Err(Fault::TooLarge);
        }
        let rest = clock::timeout(self.limit, read(&mut self.io, length + TAG_BYTES))
            .await
            .ok_or(Fault::TimedOut)??;
        let (payload, found) = rest.split_at(length);
        let number = self.number.to_le_bytes();
        if !self
            .key
            .verify(&[self.side.label(), &number, payload], found)
        {
            return Err(Fault::Forged);
        }
        self.number += 1;
        match postcard::take_from_bytes(payload) {
            Ok((value, [])) => Ok(value),
            Ok(_) | Err(_) => Err(Fault::Malformed),
        }
    }
}

/// Encodes `message`; fails if the payload exceeds `max_bytes`.
pub(super) fn encode(message: &impl Serialize, max_bytes: usize) -> Result<Vec<u8>, Fault> {
    let payload = postcard::to_stdvec(message).map_err(|_| Fault::Malformed)?;
    match payload.len() <= max_bytes {
        true => Ok(payload),
        false => Err(Fault::TooLarge),
    }
}

fn tag(key: &Key, side: Side, number: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    key.tag(&[side.label(), &number.to_le_bytes(), payload])
}
