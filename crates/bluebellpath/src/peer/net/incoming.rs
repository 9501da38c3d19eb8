//! Accepting side of connections.

use std::{cell::Cell, pin::pin, rc::Rc};

use bluebellpath_runtime::{Notify, spawn};
use futures_channel::mpsc;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use monoio::{
    io::Splitable,
    net::{TcpListener, TcpStream},
};

use super::{
    Config,
    wire::{self, Answered, Asked, Reader, Side, Writer},
};
use crate::peer::{Handler, Key};

/// Accepts connections for ever and hands their requests to `handler`.
pub(super) async fn accept(
    listener: Rc<TcpListener>,
    key: Key,
    config: Config,
    handler: Rc<dyn Handler>,
) {
    let open: Rc<Cell<usize>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, mostly: some come free as connections end.
            bluebellpath_runtime::clock::sleep(config.connect).await;
            continue;
        };
        if open.get() >= config.connections {
            continue;
        }
        let slot = Slot::new(open.clone());
        let handler = handler.clone();
        drop(spawn(async move {
            let _slot = slot;
            // Whoever called sees the connection end and knows as much.
            let _ = serve(stream, key, config, handler).await;
        }));
    }
}

async fn serve(
    mut stream: TcpStream,
    key: Key,
    config: Config,
    handler: Rc<dyn Handler>,
) -> Result<(), wire::Fault> {
    let _ = stream.set_nodelay(true);
    let session = wire::shake(&mut stream, Side::Server, &key, config.connect).await?;
    let (read, write) = stream.into_split();
    let limits = (config.message, config.message_bytes);
    let mut reader = Reader::new(read, session, Side::Server, limits.0, limits.1);
    let mut writer = Writer::new(write, session, Side::Server, config.message);
    let (replies, mut replied) = mpsc::unbounded::<Answered>();
    let running: Rc<Cell<usize>> = Rc::default();
    let connection = Connection::default();
    let reading = async {
        loop {
            let (number, request) = match reader.read(config.idle * 3).await {
                Ok(Asked::Call(number, request)) => (number, request),
                Ok(Asked::Probe) => {
                    // The connection may have ended meanwhile.
                    let _ = replies.unbounded_send(Answered::Alive);
                    continue;
                }
                // Replies are still to come: the caller is not idle.
                Err(wire::Fault::TimedOut) if running.get() > 0 => continue,
                Err(fault) => return Err(fault),
            };
            if running.get() >= config.calls {
                return Err(wire::Fault::TooLarge);
            }
            let slot = Slot::new(running.clone());
            let (handler, replies) = (handler.clone(), replies.clone());
            let ended = connection.0.clone();
            drop(spawn(async move {
                let bound = request.ends_with_sender();
                let handling = handler.handle(request);
                let reply = match bound {
                    true => match select(handling, pin!(ended.notified())).await {
                        Either::Left((reply, _)) => reply,
                        Either::Right(_) => return,
                    },
                    false => handling.await,
                };
                drop(slot);
                // Likewise.
                let _ = replies.unbounded_send(Answered::Reply(number, reply));
            }));
        }
    };
    let writing = async {
        while let Some(answered) = replied.next().await {
            let payload = wire::encode(&answered, config.message_bytes)?;
            writer.write(payload).await?;
        }
        Ok(())
    };
    let (reading, writing) = (std::pin::pin!(reading), std::pin::pin!(writing));
    let ended = select(reading, writing).await;
    ended.factor_first().0
}

/// Tells requests that depend on their sender when its connection ends.
#[derive(Default)]
struct Connection(Rc<Notify>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.notify();
    }
}

/// Counts something while it lives.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn new(count: Rc<Cell<usize>>) -> Slot {
        count.set(count.get() + 1);
        Slot(count)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
