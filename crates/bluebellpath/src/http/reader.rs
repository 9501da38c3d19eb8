//! Reads whole messages off a connection, within limits.

use std::time::Duration;

use ::http::{HeaderMap, header};
use bluebellpath_runtime::clock;
use bytes::{Bytes, BytesMut};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, RequestHeadDecoder, ResponseHeadDecoder,
};

use super::{Fault, Limits};

/// Fewest bytes asked of the socket at once: most messages are smaller, and so
/// is what the allocator hands out without searching.
const MIN_CHUNK_BYTES: usize = 1 << 10;

/// Most bytes asked of the socket at once.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Most bytes of a chunk's size, line ends and the last chunk.
const MAX_CHUNK_FRAME: usize = 64;

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
}

impl<R: AsyncReadRent> Reader<R> {
    pub(super) fn new(io: R) -> Reader<R> {
        Reader {
            io,
            buffer: BytesMut::new(),
            chunk_bytes: MIN_CHUNK_BYTES,
        }
    }

    /// Waits for the first byte of a message; false at the end of the stream.
    pub(super) async fn wait(&mut self) -> Result<bool, Fault> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.fill().await
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
                Length::Known(length) => self.known(length, silence).await,
                Length::Chunked => self.chunked(limits.body_bytes, silence).await,
            }
        };
        clock::timeout(limits.message, read)
            .await
            .ok_or(Fault::TimedOut)?
    }

    async fn known(&mut self, length: usize, silence: Duration) -> Result<Bytes, Fault> {
        while self.buffer.len() < length {
            self.more(silence).await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads a chunked body of up to `limit` bytes, without extensions or
    /// trailers.
    async fn chunked(&mut self, limit: usize, silence: Duration) -> Result<Bytes, Fault> {
        let mut body = BytesMut::new();
        loop {
            let mut decoder = ChunkedBodyDecoder::default();
            while self.buffer.is_empty() {
                self.more(silence).await?;
            }
            // The decoder takes a chunk without a size for the last one.
            if !self.buffer[0].is_ascii_hexdigit() {
                return Err(Fault::Malformed);
            }
            let chunk = loop {
                // The decoder wants the whole chunk, so the limit is tested on
                // what it holds back.
                if body.len() + self.buffer.len() > limit + MAX_CHUNK_FRAME {
                    return Err(Fault::BodyTooLarge);
                }
                match decoder.decode(&mut self.buffer) {
                    Ok(Decoded::Some(chunk)) => break chunk,
                    Ok(_) => self.more(silence).await?,
                    Err(_) => return Err(Fault::Malformed),
                }
            };
            match chunk {
                Some(chunk) if body.len() + chunk.len() > limit => return Err(Fault::BodyTooLarge),
                Some(chunk) => body.extend_from_slice(&chunk),
                None => return Ok(body.freeze()),
            }
        }
    }

    /// Reads more input; errs at the end of the stream, or when none comes within
    /// `silence`.
    async fn more(&mut self, silence: Duration) -> Result<(), Fault> {
        let filled = clock::timeout(silence, self.fill()).await;
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
    }

    /// Reads and forgets some input; false at the end of the stream.
    pub(super) async fn discard(&mut self) -> bool {
        self.buffer.clear();
        self.fill().await.unwrap_or(false)
    }

    async fn head<D: Decoder>(&mut self, decoder: &mut D, limit: usize) -> Result<D::Item, Fault> {
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Some(head)) => return Ok(head),
                Ok(_) if self.buffer.len() > limit => return Err(Fault::HeadTooLarge),
                Ok(_) => {}
                Err(_) => return Err(Fault::Malformed),
            }
            if !self.fill().await? {
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
            true => (2 * read).min(MAX_CHUNK_BYTES),
            false => MIN_CHUNK_BYTES,
        };
    }

    async fn fill(&mut self) -> Result<bool, Fault> {
        // Lending the buffer's free end to the socket instead costs more: the
        // split and the shared count outweigh the copy of a small message.
        let chunk = Vec::with_capacity(self.chunk_bytes);
        let (result, chunk) = self.io.read(chunk).await;
        match result {
            Ok(0) => Ok(false),
            Ok(read) => {
                self.resize(read);
                self.buffer.extend_from_slice(&chunk[..read]);
                Ok(true)
            }
            Err(_) => Err(Fault::Io),
        }
    }
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
