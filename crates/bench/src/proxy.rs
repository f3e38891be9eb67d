//! Fault-injecting TCP proxy that is controllable at run time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::stand_in::loopback;

const READ_BYTES: usize = 16 * 1024;
/// Maximum number of delayed reads in flight per direction.
const MAX_DELAYED_READS: usize = 256;
/// Delay before a reset, which would discard bytes in flight.
const RESET_DELAY: Duration = Duration::from_millis(5);
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Faults of a proxy. The default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each byte, in milliseconds.
    pub delay_ms: u64,
    /// Reset new connections immediately.
    pub refuse: bool,
    /// Forward nothing in either direction, but keep connections open and lose nothing.
    pub freeze: bool,
    /// Drop bytes to the target. Connections that lost bytes are reset when this ends.
    pub swallow_to_target: bool,
    /// Drop bytes from the target. Connections that lost bytes are reset when this ends.
    pub swallow_from_target: bool,
    /// Reset each connection after this many bytes from the target.
    pub cut_after_bytes: Option<u64>,
}

impl Faults {
    /// Returns faults that reset new connections immediately.
    pub fn refusing() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Control {
    faults: Faults,
    target: SocketAddr,
    /// Incremented to reset all open connections.
    reset_generation: u64,
    /// Number of further connections to reset on their first byte.
    pending_resets: u32,
}

/// A running proxy. Dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    control: watch::Sender<Control>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free port of the loopback address.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(loopback(), target).await
    }

    /// Starts a proxy that listens at `listen`.
    pub async fn start_at(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let control = watch::Sender::new(Control {
            faults: Faults::default(),
            target,
            reset_generation: 0,
            pending_resets: 0,
        });
        let task = tokio::spawn(accept_all(listener, control.clone()));
        Ok(Self {
            address,
            control,
            task,
        })
    }

    /// Sends new connections to another target, such as a restarted process.
    pub fn retarget(&self, target: SocketAddr) {
        self.target().set(target);
    }

    /// Returns a handle to the target of new connections.
    pub fn target(&self) -> ProxyTarget {
        ProxyTarget {
            control: self.control.clone(),
        }
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        self.control.send_modify(|control| control.faults = faults);
    }

    /// Clears all faults.
    pub fn heal(&self) {
        self.set(Faults::default());
    }

    /// Resets all open connections.
    pub fn cut(&self) {
        self.control
            .send_modify(|control| control.reset_generation += 1);
    }

    /// Resets the next `connections` connections on their first byte.
    pub fn reset_next(&self, connections: u32) {
        self.control
            .send_modify(|control| control.pending_resets = connections);
    }
}

/// Handle to a proxy's target. Cheap to clone.
#[derive(Debug, Clone)]
pub struct ProxyTarget {
    control: watch::Sender<Control>,
}

impl ProxyTarget {
    /// Sends new connections to this target.
    pub fn set(&self, target: SocketAddr) {
        self.control.send_modify(|control| control.target = target);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, control: watch::Sender<Control>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((client, _)) => {
                    connections.spawn(serve(client, control.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

/// Forwards one connection until it ends or a fault resets it.
async fn serve(mut client: TcpStream, control: watch::Sender<Control>) {
    let _ = client.set_nodelay(true);
    let current = *control.borrow();
    if current.faults.refuse {
        return reset(&client);
    }
    if consume_reset(&control) {
        let _ = client.readable().await;
        return reset(&client);
    }
    let Ok(mut server) = TcpStream::connect(current.target).await else {
        return reset(&client);
    };
    let _ = server.set_nodelay(true);
    // Owned halves would shut the stream down cleanly before the reset.
    let (mut client_reader, client_writer) = client.split();
    let (mut server_reader, server_writer) = server.split();
    let to_target = Direction::ToTarget;
    let from_target = Direction::FromTarget;
    let mut reset_watch = control.subscribe();
    let outcome = tokio::select! {
        outcome = async {
            tokio::try_join!(
                forward(&mut client_reader, server_writer, &control, to_target),
                forward(&mut server_reader, client_writer, &control, from_target),
            )
        } => outcome.map(drop),
        _ = reset_watch.wait_for(|control| control.reset_generation > current.reset_generation) => Err(ConnectionBroken),
    };
    if outcome.is_err() {
        reset(&client);
        reset(&server);
    }
}

fn consume_reset(control: &watch::Sender<Control>) -> bool {
    if control.borrow().pending_resets == 0 {
        return false;
    }
    control.send_if_modified(|control| {
        let had_one = control.pending_resets > 0;
        control.pending_resets = control.pending_resets.saturating_sub(1);
        had_one
    })
}

/// Makes closing the socket send a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Direction {
    fn is_dropped(self, faults: &Faults) -> bool {
        match self {
            Self::ToTarget => faults.swallow_to_target,
            Self::FromTarget => faults.swallow_from_target,
        }
    }

    /// Returns how many of `length` further bytes may pass before the connection is cut.
    fn bytes_allowed(self, faults: &Faults, forwarded: u64, length: usize) -> usize {
        match (self, faults.cut_after_bytes) {
            (Self::FromTarget, Some(limit)) => {
                let left = limit.saturating_sub(forwarded);
                length.min(usize::try_from(left).unwrap_or(usize::MAX))
            }
            _ => length,
        }
    }
}

/// The connection must be reset.
#[derive(Debug)]
struct ConnectionBroken;

impl From<io::Error> for ConnectionBroken {
    fn from(_: io::Error) -> Self {
        Self
    }
}

/// Bytes of one read, to be written when due.
struct DelayedBytes {
    due: Instant,
    bytes: Vec<u8>,
    /// Whether the connection is reset after these bytes.
    is_last: bool,
}

/// Forwards one direction until the reader ends and all bytes are written.
async fn forward(
    reader: &mut ReadHalf<'_>,
    writer: WriteHalf<'_>,
    control: &watch::Sender<Control>,
    direction: Direction,
) -> Result<(), ConnectionBroken> {
    let (sender, receiver) = mpsc::channel(MAX_DELAYED_READS);
    let reading = read(reader, sender, control.subscribe(), direction);
    let writing = write(writer, receiver, control.subscribe());
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read(
    reader: &mut ReadHalf<'_>,
    sender: mpsc::Sender<DelayedBytes>,
    mut control: watch::Receiver<Control>,
    direction: Direction,
) -> Result<(), ConnectionBroken> {
    let mut has_lost_bytes = false;
    let mut forwarded = 0;
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = tokio::select! {
            read = reader.read(&mut buffer) => read?,
            changed = control.changed() => {
                changed.map_err(|_| ConnectionBroken)?;
                let faults = control.borrow_and_update().faults;
                if has_lost_bytes && !direction.is_dropped(&faults) {
                    return Err(ConnectionBroken);
                }
                continue;
            }
        };
        let faults = control.borrow().faults;
        if length > 0 && direction.is_dropped(&faults) {
            has_lost_bytes = true;
            continue;
        }
        if length == 0 {
            return if has_lost_bytes {
                Err(ConnectionBroken)
            } else {
                Ok(())
            };
        }
        let allowed = direction.bytes_allowed(&faults, forwarded, length);
        forwarded += length as u64;
        let delayed = DelayedBytes {
            due: Instant::now() + Duration::from_millis(faults.delay_ms),
            bytes: buffer[..allowed].to_vec(),
            is_last: allowed < length,
        };
        sender.send(delayed).await.map_err(|_| ConnectionBroken)?;
    }
}

async fn write(
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<DelayedBytes>,
    mut control: watch::Receiver<Control>,
) -> Result<(), ConnectionBroken> {
    while let Some(delayed) = receiver.recv().await {
        tokio::time::sleep_until(delayed.due).await;
        wait_until_unfrozen(&mut control).await?;
        writer.write_all(&delayed.bytes).await?;
        if delayed.is_last {
            tokio::time::sleep(RESET_DELAY).await;
            return Err(ConnectionBroken);
        }
    }
    wait_until_unfrozen(&mut control).await?;
    writer.shutdown().await?;
    Ok(())
}

async fn wait_until_unfrozen(
    control: &mut watch::Receiver<Control>,
) -> Result<(), ConnectionBroken> {
    let wait_until_unfrozen = control.wait_for(|control| !control.faults.freeze).await;
    wait_until_unfrozen.map(drop).map_err(|_| ConnectionBroken)
}
