//! A TCP relay between two processes that can break, block in one direction or delay the link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::Result;

/// The faults of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// Closes all connections and refuses new ones.
    pub(crate) is_cut: bool,
    /// Holds back data from the connecting side.
    pub(crate) holds_requests: bool,
    /// Holds back data from the accepting side.
    pub(crate) holds_answers: bool,
    /// Delay before each chunk is forwarded.
    pub(crate) delay: Duration,
}

/// Rewrites addresses in the data that one side receives, as network address translation does.
///
/// This makes daemons connect to relays instead of the addresses in member records.
#[derive(Debug, Clone)]
pub(crate) struct Translation {
    /// The second octets of all addresses of processes and of their relays.
    pub(crate) octets: std::ops::Range<u8>,
    /// The third octet of all addresses of the cluster.
    pub(crate) third: u8,
    /// The last octets of the cluster's processes.
    pub(crate) hosts: std::ops::Range<u8>,
    /// The second octet under which the receiving process sees the others.
    pub(crate) to: u8,
}

/// A relayed link between two processes.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: watch::Sender<State>,
    forwarded: Arc<AtomicU64>,
}

/// Size of the read buffer.
const BUFFER_BYTES: usize = 64 << 10;

impl Link {
    /// Listens on `listen` and forwards connections to `target`; the translations apply to what the
    /// target and what the connecting side receive, in this order.
    pub(crate) async fn bind(
        name: String,
        listen: SocketAddr,
        target: SocketAddr,
        translations: [Option<Translation>; 2],
    ) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, receiver) = watch::channel(State::default());
        let forwarded = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&forwarded);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (receiver, counter) = (receiver.clone(), Arc::clone(&counter));
                tokio::spawn(connect(
                    socket,
                    target,
                    receiver,
                    translations.clone(),
                    counter,
                ));
            }
        });
        Ok(Self {
            name,
            address,
            state,
            forwarded,
        })
    }

    /// Sets the faults of the link.
    pub(crate) fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Returns the number of bytes forwarded in both directions.
    pub(crate) fn forwarded_bytes(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    [to_target, to_source]: [Option<Translation>; 2],
    forwarded: Arc<AtomicU64>,
) {
    if state.borrow().is_cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let requests = forward(
        near_read,
        far_write,
        state.clone(),
        |state| state.holds_requests,
        to_target,
        &forwarded,
    );
    let answers = forward(
        far_read,
        near_write,
        state.clone(),
        |state| state.holds_answers,
        to_source,
        &forwarded,
    );
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        _ = state.wait_for(|state| state.is_cut) => {}
    }
}

async fn forward<Source, Sink>(
    mut source: Source,
    mut sink: Sink,
    mut state: watch::Receiver<State>,
    holds: fn(&State) -> bool,
    translation: Option<Translation>,
    forwarded: &AtomicU64,
) -> std::io::Result<()>
where
    Source: AsyncRead + Unpin,
    Sink: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut pending = Vec::new();
    loop {
        let read = source.read(&mut buffer).await?;
        pending.extend_from_slice(&buffer[..read]);
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if state.wait_for(|state| !holds(state)).await.is_err() {
            return Ok(());
        }
        let ready = match &translation {
            Some(translation) if read > 0 => translation.apply(&mut pending),
            _ => pending.len(),
        };
        sink.write_all(&pending[..ready]).await?;
        forwarded.fetch_add(ready as u64, Ordering::Relaxed);
        pending.drain(..ready);
        if read == 0 {
            return sink.shutdown().await;
        }
    }
}

impl Translation {
    /// Rewrites addresses, encoded as text or as four bytes. Returns how many bytes can be
    /// forwarded before the next read, because the last ones may be the beginning of an address.
    ///
    /// All four octets have to match, so that other data is rarely mistaken for an address.
    fn apply(&self, bytes: &mut [u8]) -> usize {
        for at in 0..bytes.len().saturating_sub(3) {
            let is_address = bytes[at] == 127
                && self.octets.contains(&bytes[at + 1])
                && bytes[at + 2] == self.third
                && self.hosts.contains(&bytes[at + 3]);
            if is_address {
                bytes[at + 1] = self.to;
            }
        }
        let [from, to] = [self.octets.start, self.to].map(|octet| self.text_prefix(octet));
        for at in 0..bytes.len().saturating_sub(from.len() - 1) {
            if bytes[at..at + from.len()] == *from {
                bytes[at..at + from.len()].copy_from_slice(&to);
            }
        }
        let is_address_prefix = |tail: &[u8]| {
            let [first, rest @ ..] = tail else {
                return false;
            };
            from.starts_with(tail)
                || *first == 127
                    && rest.len() < 3
                    && rest.first().is_none_or(|octet| self.octets.contains(octet))
                    && rest.get(1).is_none_or(|third| *third == self.third)
        };
        let max_tail = from.len().min(bytes.len() + 1);
        let tail = (1..max_tail)
            .rev()
            .find(|&tail| is_address_prefix(&bytes[bytes.len() - tail..]));
        bytes.len() - tail.unwrap_or(0)
    }

    fn text_prefix(&self, octet: u8) -> Vec<u8> {
        format!("127.{octet}.{}.", self.third).into_bytes()
    }
}
