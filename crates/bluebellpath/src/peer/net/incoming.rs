//! Accepting side of connections.

use std::{cell::Cell, pin::pin, rc::Rc};

use bluebellpath_fleet::{messages::ClockReading, permission::Contact};
use bluebellpath_runtime::{Instant, Notify, clock, spawn};
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
    wire::{self, CallerMessage, Reader, ServerMessage, Side, Writer},
};
use crate::peer::{Handler, Key};

/// Accepts connections forever and passes their requests to `handler`.
pub(super) async fn accept(
    listener: Rc<TcpListener>,
    key: Key,
    config: Config,
    handler: Rc<dyn Handler>,
) {
    let open_connections: Rc<Cell<usize>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Mostly out of file descriptors: some are released when connections end.
            clock::sleep(config.connect).await;
            continue;
        };
        if open_connections.get() >= config.connections {
            continue;
        }
        let guard = CountGuard::new(open_connections.clone());
        let handler = handler.clone();
        drop(spawn(async move {
            let _guard = guard;
            // The caller learns of the error by the end of the connection.
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
    let session = wire::handshake(&mut stream, Side::Server, &key, config.connect).await?;
    let (read, write) = stream.into_split();
    let limits = (config.message, config.message_bytes);
    let mut reader = Reader::new(read, session, Side::Server, limits.0, limits.1);
    let mut writer = Writer::new(write, session, Side::Server, config.message);
    let (replies, mut replied) = mpsc::unbounded::<ServerMessage>();
    let running: Rc<Cell<usize>> = Rc::default();
    let activity = Activity::default();
    let contact = Contact::default();
    let end_notifier = EndNotifier::default();
    let reading = async {
        loop {
            let message = reader.read(config.idle * 3).await;
            activity.last_received.set(clock::now());
            let (number, request) = match message {
                Ok(CallerMessage::Call(number, request)) => (number, request),
                Ok(CallerMessage::Probe(clocks)) => {
                    contact.confirm(clocks);
                    let alive = ServerMessage::Alive(ClockReading::now());
                    // The connection may have ended meanwhile.
                    let _ = replies.unbounded_send(alive);
                    continue;
                }
                // Calls are still running, so the connection is not idle.
                Err(wire::Fault::TimedOut) if running.get() > 0 => continue,
                Err(fault) => return Err(fault),
            };
            if running.get() >= config.calls {
                return Err(wire::Fault::TooLarge);
            }
            let guard = CountGuard::new(running.clone());
            activity.received.notify();
            let (handler, replies) = (handler.clone(), replies.clone());
            let (ended, contact) = (end_notifier.0.clone(), contact.clone());
            drop(spawn(async move {
                let ends_with_sender = request.ends_with_sender();
                let handling = handler.handle(request, &contact);
                let reply = match ends_with_sender {
                    true => match select(handling, pin!(ended.notified())).await {
                        Either::Left((reply, _)) => reply,
                        Either::Right(_) => return,
                    },
                    false => handling.await,
                };
                drop(guard);
                // The connection may have ended meanwhile.
                let _ = replies.unbounded_send(ServerMessage::Reply(number, reply));
            }));
        }
    };
    let writing = async {
        while let Some(message) = replied.next().await {
            let payload = wire::encode(&message, config.message_bytes)?;
            writer.write(payload).await?;
        }
        Ok(())
    };
    let transferring = async {
        let (reading, writing) = (pin!(reading), pin!(writing));
        let ended = select(reading, writing).await;
        ended.factor_first().0
    };
    let silent = wait_until_silent(&activity, &running, &config);
    match select(pin!(transferring), pin!(silent)).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => Err(wire::Fault::TimedOut),
    }
}

/// Returns when calls are running whose caller has sent nothing, not even a probe,
/// for twice [`Config::silence`].
///
/// The caller has then given up the connection, even if no end of it arrives.
async fn wait_until_silent(activity: &Activity, running: &Cell<usize>, config: &Config) {
    loop {
        let received = activity.received.notified();
        if running.get() == 0 {
            received.await;
            continue;
        }
        let since = activity.last_received.get();
        let deadline = since + config.silence * 2;
        if clock::now() < deadline {
            clock::sleep_until(deadline).await;
            continue;
        }
        // After a suspension of this process, messages may be waiting to be read.
        clock::sleep(config.probe).await;
        if running.get() > 0 && activity.last_received.get() == since {
            return;
        }
    }
}

/// Messages received on a connection.
#[derive(Default)]
struct Activity {
    /// Time at which the last message was received.
    last_received: Cell<Instant>,
    /// Notified of each call.
    received: Notify,
}

/// Notifies handlers of requests that end with their sender when the connection
/// ends.
#[derive(Default)]
struct EndNotifier(Rc<Notify>);

impl Drop for EndNotifier {
    fn drop(&mut self) {
        self.0.notify();
    }
}

/// Increments a counter until it is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
