/*!
HTTP/1.1 as this project uses it: whole messages with a known length.

Heads are parsed and messages are written by monoio-http's codec. Its ready
decoder for whole messages is not used: it sets no limit on heads or bodies, and
cloning its errors recurses without end. [`Server`] and [`Client`] therefore
read the body themselves, under the limits of [`Limits`].

What all callers of a process hold together is limited by its [`Budget`], on which every
connection draws from accept to close; [`ledger`] decides who makes room for whom.

Every connection is one task. The server answers malformed input with an error
before it closes; the client tells whether any byte of a request may have been
sent, because that decides what may be said about a task.
*/

mod body;
mod budget;
mod client;
mod error;
pub mod ledger;
mod limits;
mod message;
mod reader;
mod server;

pub use budget::{Account, Budget, Loan, Usage};
pub use client::{Client, Config as ClientConfig, GUARANTEED};
pub use error::{Error, Fault, Step};
pub use limits::Limits;
pub use message::{Request, Response, fits_header};
pub use server::{Closer, Server, Service};
