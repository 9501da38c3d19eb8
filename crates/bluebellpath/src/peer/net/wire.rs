/*!
Messages on a connection.

Both sides send a nonce and then prove that they hold the shared key, with a
tag over both nonces. Each message is its length, a postcard payload and a tag
under the connection's own key over direction, number and payload: a recorded
stream fits no later connection, and within one nothing can be repeated, left
out or sent back.
*/

use std::time::Duration;

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

/// Version of the messages that this build speaks.
const VERSION: u8 = 2;

/// Bytes that one side adds to a connection's key.
const NONCE_BYTES: usize = 16;

/// Bytes of a length.
const LENGTH_BYTES: usize = 4;

/// First byte of [`Asked::Call`].
const CALL: u8 = 0;

/// Why a connection is of no use any more.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The other side closed it.
    #[display("connection closed")]
    Closed,
    /// Time ran out.
    #[display("timed out")]
    TimedOut,
    /// The other side speaks another version.
    #[display("unknown version")]
    Version,
    /// The other side does not hold the shared key, or bytes were changed.
    #[display("wrong tag")]
    Forged,
    /// Message larger than the limit.
    #[display("message too large")]
    TooLarge,
    /// Message of another shape.
    #[display("malformed message")]
    Malformed,
}

/// Message of the calling side.
#[derive(Serialize, Deserialize)]
pub(super) enum Asked {
    /// Call with its number. The caller writes it in parts, see [`call`].
    Call(u64, Request),
    /// Asks for a sign of life.
    Probe,
}

/// Message of the serving side.
#[derive(Serialize, Deserialize)]
pub(super) enum Answered {
    /// Reply to the call with that number.
    Reply(u64, Reply),
    /// Sign of life.
    Alive,
}

/// [`Asked::Call`] of an encoded request.
pub(super) fn call(number: u64, request: &[u8]) -> Vec<u8> {
    let mut message = vec![CALL];
    message.extend(postcard::to_stdvec(&number).unwrap_or_default());
    message.extend_from_slice(request);
    message
}

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Made the connection.
    Caller,
    /// Accepted it.
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

/// Agrees on the connection's own key, within `limit`.
pub(super) async fn shake(
    stream: &mut TcpStream,
    side: Side,
    key: &Key,
    limit: Duration,
) -> Result<Key, Fault> {
    let shaking = exchange(stream, side, key);
    clock::timeout(limit, shaking)
        .await
        .ok_or(Fault::TimedOut)?
}

async fn exchange(stream: &mut TcpStream, side: Side, key: &Key) -> Result<Key, Fault> {
    let own: [u8; NONCE_BYTES] = rand::rng().random();
    let mut hello = vec![VERSION];
    hello.extend_from_slice(&own);
    write(stream, hello).await?;
    let hello = read(stream, 1 + NONCE_BYTES).await?;
    if hello[0] != VERSION {
        return Err(Fault::Version);
    }
    let (caller, server) = match side {
        Side::Caller => (&own[..], &hello[1..]),
        Side::Server => (&hello[1..], &own[..]),
    };
    let session = key.session(caller, server);
    write(stream, session.tag(&[side.label()]).to_vec()).await?;
    let proof = read(stream, TAG_BYTES).await?;
    match session.verify(&[side.other().label()], &proof) {
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

    /// Writes a payload that [`encode`] made.
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

    /// Reads the next message, waiting up to `idle` for its first bytes.
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

/// Payload of `message`, within `max_bytes`.
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
