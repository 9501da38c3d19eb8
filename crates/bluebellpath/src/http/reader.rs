//! Reads whole messages off a connection, within limits.

use std::{rc::Rc, time::Duration};

use ::http::{HeaderMap, header};
use bluebellpath_runtime::{clock, runtime};
use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

use super::{Account, Fault, Limits, body::Body};

/// Fewest bytes asked of the socket at once: most messages are smaller, and so
/// is what the allocator hands out without searching.
const MIN_CHUNK_BYTES: usize = 1 << 10;

/// Most bytes asked of the socket at once.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Most bytes asked at once of a socket whose bytes are charged to an account. Each
/// connection that waits for input holds so much.
const MAX_CHARGED_CHUNK_BYTES: usize = 16 << 10;

/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 64;

/// Most bytes of the lines between chunks, in bodies of the largest size: chunks of one
/// byte take five.
const MAX_FRAMING: usize = 8;

/// Largest body that is received in one piece, in bytes.
const MAX_PIECE: usize = 64 << 10;

/// Bytes of a reader that the fixed part of an account covers.
pub(super) const COVERED_BYTES: usize = 8 << 10;

/// Step in which an account is charged, in bytes.
const CHARGE_STEP: usize = 4 << 10;

/// Input in bytes, and chunks, after which other connections get their turn.
const TURN_BYTES: usize = 64 << 10;
const TURN_CHUNKS: usize = 1_024;

/// Length of a body, as its head declares it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Length {
    Known(usize),
    Chunked,
}

/// Buffered reading side of a connection.
pub(super) struct Reader<R> {
    io: R,
    buffer: BytesMut,
    chunk_bytes: usize,
    max_chunk_bytes: usize,
    /// Pays for what is buffered.
    account: Option<Rc<Account>>,
    /// Bytes that the account is charged with for this reader.
    charged: usize,
    /// Input since other connections had their turn.
    turn_bytes: usize,
}

impl<R: AsyncReadRent> Reader<R> {
    pub(super) fn new(io: R) -> Reader<R> {
        Reader {
            io,
            buffer: BytesMut::new(),
            chunk_bytes: MIN_CHUNK_BYTES,
            max_chunk_bytes: MAX_CHUNK_BYTES,
            account: None,
            charged: 0,
            turn_bytes: 0,
        }
    }

    /// Reader that charges what it buffers to `account`.
    pub(super) fn charged(io: R, account: Rc<Account>) -> Reader<R> {
        Reader {
            max_chunk_bytes: MAX_CHARGED_CHUNK_BYTES,
            account: Some(account),
            ..Reader::new(io)
        }
    }

    /// Waits for the first byte of a message; false at the end of the stream.
    pub(super) async fn wait(&mut self) -> Result<bool, Fault> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.fill(0).await
    }

    /// Reads the head of a request.
    pub(super) async fn request_head(
        &mut self,
        limits: &Limits,
    ) -> Result<::http::request::Parts, Fault> {
        let mut decoder = RequestHeadDecoder;
        let head = self.head(&mut decoder, limits.head_bytes);
        clock::timeout(limits.message, head)
            .await
            .ok_or(Fault::TimedOut)?
    }

    /// Reads the head of a response.
    pub(super) async fn response_head(
        &mut self,
        limits: &Limits,
        wait: Duration,
    ) -> Result<::http::response::Parts, Fault> {
        let mut decoder = ResponseHeadDecoder;
        let head = self.head(&mut decoder, limits.head_bytes);
        clock::timeout(wait, head).await.ok_or(Fault::TimedOut)?
    }

    /// Reads the body of `length`, of which the next bytes come within `silence`.
    pub(super) async fn body(
        &mut self,
        length: Length,
        limits: &Limits,
        silence: Duration,
    ) -> Result<Bytes, Fault> {
        let read = async {
            match length {
                Length::Known(length) if length <= MAX_PIECE => self.piece(length, silence).await,
                Length::Known(length) => self.known(length, silence).await,
                Length::Chunked => self.chunked(limits.body_bytes, silence).await,
            }
        };
        clock::timeout(limits.message, read)
            .await
            .ok_or(Fault::TimedOut)?
    }

    async fn piece(&mut self, length: usize, silence: Duration) -> Result<Bytes, Fault> {
        if let Some(missing) = length.checked_sub(self.buffer.len()) {
            self.charge(length + self.chunk_bytes).await?;
            self.buffer.reserve(missing);
        }
        while self.buffer.len() < length {
            self.more(silence, 0).await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn known(&mut self, length: usize, silence: Duration) -> Result<Bytes, Fault> {
        let mut body = Body::default();
        loop {
            let missing = length - body.len();
            let now = self.buffer.len().min(missing);
            body.extend(&self.buffer.split_to(now));
            if now == missing {
                return Ok(body.join());
            }
            self.more(silence, body.size_with(self.max_chunk_bytes))
                .await?;
        }
    }

    /// Reads a chunked body of up to `limit` bytes, without trailers.
    async fn chunked(&mut self, limit: usize, silence: Duration) -> Result<Bytes, Fault> {
        let mut body = Body::default();
        let mut framing = 0;
        for chunk in 1.. {
            let size = self.chunk_size(&body, silence, &mut framing).await?;
            if size > limit - body.len() || framing > MAX_FRAMING * limit {
                return Err(Fault::BodyTooLarge);
            }
            let end = body.len() + size;
            while body.len() < end {
                let now = self.buffer.len().min(end - body.len());
                body.extend(&self.buffer.split_to(now));
                if body.len() < end {
                    self.more(silence, body.size_with(self.max_chunk_bytes))
                        .await?;
                }
            }
            while self.buffer.len() < LINE_END.len() {
                self.more(silence, body.size_with(self.max_chunk_bytes))
                    .await?;
            }
            if !self.buffer.starts_with(LINE_END) {
                return Err(Fault::Malformed);
            }
            self.buffer.advance(LINE_END.len());
            if size == 0 {
                break;
            }
            if chunk % TURN_CHUNKS == 0 {
                runtime::give_way().await;
            }
        }
        Ok(body.join())
    }

    /// Reads the line with the size of the next chunk, and adds its length to
    /// `framing`.
    async fn chunk_size(
        &mut self,
        body: &Body,
        silence: Duration,
        framing: &mut usize,
    ) -> Result<usize, Fault> {
        loop {
            let first = self.buffer.first();
            // The parser takes a line without a size for the last chunk.
            if first.is_some_and(|it| !it.is_ascii_hexdigit()) {
                return Err(Fault::Malformed);
            }
            let line = &self.buffer[..self.buffer.len().min(MAX_CHUNK_LINE)];
            match httparse::parse_chunk_size(line) {
                Ok(Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    *framing += length + LINE_END.len();
                    return usize::try_from(size).map_err(|_| Fault::BodyTooLarge);
                }
                Ok(Status::Partial) if line.len() < MAX_CHUNK_LINE => {
                    self.more(silence, body.size_with(self.max_chunk_bytes))
                        .await?;
                }
                Ok(Status::Partial) | Err(_) => return Err(Fault::Malformed),
            }
        }
    }

    /// Reads more input beside a body of `body_bytes`; errs at the end of the stream, or
    /// when none comes within `silence`.
    async fn more(&mut self, silence: Duration, body_bytes: usize) -> Result<(), Fault> {
        let filled = clock::timeout(silence, self.fill(body_bytes)).await;
        match filled.ok_or(Fault::TimedOut)?? {
            true => Ok(()),
            // The other side may still listen for an answer.
            false => Err(Fault::Malformed),
        }
    }

    /// True when input is here that has not been taken yet.
    pub(super) fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Gives back the buffer when nothing is left in it, so that a connection
    /// whose answer is awaited holds none.
    pub(super) fn release(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        self.chunk_bytes = MIN_CHUNK_BYTES;
    }

    /// Gives back what the account was charged with, but for what is still buffered.
    pub(super) fn settle(&mut self) {
        self.charged = uncovered(self.buffer.capacity() + self.chunk_bytes);
        if let Some(account) = &self.account {
            account.shrink(self.charged);
        }
    }

    /// Drops the input that is here and gives back what it was charged with.
    pub(super) fn clear(&mut self) {
        self.buffer = BytesMut::new();
        self.chunk_bytes = MIN_CHUNK_BYTES;
        self.settle();
    }

    /// Reads and forgets some input; false at the end of the stream.
    pub(super) async fn discard(&mut self) -> bool {
        self.buffer.clear();
        self.chunk_bytes = self.chunk_bytes.min(COVERED_BYTES / 4);
        self.fill(0).await.unwrap_or(false)
    }

    async fn head<D: Decoder>(&mut self, decoder: &mut D, limit: usize) -> Result<D::Item, Fault> {
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Some(head)) => return Ok(head),
                Ok(_) if self.buffer.len() > limit => return Err(Fault::HeadTooLarge),
                Ok(_) => {}
                Err(_) => return Err(Fault::Malformed),
            }
            if !self.fill(0).await? {
                let fault = if self.buffer.is_empty() {
                    Fault::Closed
                } else {
                    Fault::Malformed
                };
                return Err(fault);
            }
        }
    }

    /// Asks for more at once while the socket fills what it is given.
    fn resize(&mut self, read: usize) {
        self.chunk_bytes = match read == self.chunk_bytes {
            true => (2 * read).min(self.max_chunk_bytes),
            false => MIN_CHUNK_BYTES,
        };
    }

    async fn fill(&mut self, body_bytes: usize) -> Result<bool, Fault> {
        if self.account.is_some() {
            // The buffer may grow to twice its length.
            let buffer = self.buffer.capacity().max(2 * self.buffer.len());
            self.charge(buffer + 2 * self.chunk_bytes + body_bytes)
                .await?;
        }
        // Lending the buffer's free end to the socket instead costs more: the
        // split and the shared count outweigh the copy of a small message.
        let chunk = Vec::with_capacity(self.chunk_bytes);
        let (result, chunk) = self.io.read(chunk).await;
        match result {
            Ok(0) => Ok(false),
            Ok(read) => {
                self.resize(read);
                self.buffer.extend_from_slice(&chunk[..read]);
                self.take_turns(read).await;
                Ok(true)
            }
            Err(_) => Err(Fault::Io),
        }
    }

    /// Charges the account with `bytes` that are held, unless it is already.
    async fn charge(&mut self, bytes: usize) -> Result<(), Fault> {
        let bytes = uncovered(bytes);
        match &self.account {
            Some(account) if bytes > self.charged => {
                account.charge(bytes).await?;
                self.charged = bytes;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Lets other connections have their turn after some input, as a socket that is
    /// always ready never waits.
    async fn take_turns(&mut self, read: usize) {
        self.turn_bytes += read;
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            runtime::give_way().await;
        }
    }
}

/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// Part of `bytes` that the fixed part of an account does not cover, in whole steps.
fn uncovered(bytes: usize) -> usize {
    bytes
        .saturating_sub(COVERED_BYTES)
        .next_multiple_of(CHARGE_STEP)
}

/// Length of the body that `headers` declare, within `limits`.
pub(super) fn declared(headers: &HeaderMap, limits: &Limits) -> Result<Length, Fault> {
    match stated(headers)? {
        Length::Known(length) if length > limits.body_bytes => Err(Fault::BodyTooLarge),
        length => Ok(length),
    }
}

fn stated(headers: &HeaderMap) -> Result<Length, Fault> {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(encoding) = encodings.next() {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        // A second encoding or a length is another opinion about the end.
        let alone = encodings.next().is_none() && !headers.contains_key(header::CONTENT_LENGTH);
        return match chunked && alone {
            true => Ok(Length::Chunked),
            false => Err(Fault::Malformed),
        };
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(Length::Known(0));
    };
    // Two lengths are two opinions about where the next message begins.
    if lengths.any(|it| it != first) {
        return Err(Fault::Malformed);
    }
    let text = first.to_str().map_err(|_| Fault::Malformed)?;
    let digits = !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit());
    if !digits {
        return Err(Fault::Malformed);
    }
    text.parse()
        .map(Length::Known)
        .map_err(|_| Fault::BodyTooLarge)
}
