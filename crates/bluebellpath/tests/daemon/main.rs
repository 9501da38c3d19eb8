//! A whole daemon on real sockets, in threads of the test.

mod bad_input;
mod caller;
mod drain;
mod observe;
mod system;
