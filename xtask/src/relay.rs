//! A TCP relay between two parts, through which links are cut, held in one direction or slowed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::Result;

/// What a link does with what passes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct State {
    /// Breaks all connections and accepts no new ones.
    pub(crate) is_cut: bool,
    /// Holds back what the connecting side sends.
    pub(crate) holds_requests: bool,
    /// Holds back what the accepting side sends.
    pub(crate) holds_answers: bool,
    /// Waits before passing on each piece.
    pub(crate) delay: Duration,
}

/// An exchange of bytes of the same length in what the accepting side sends. It makes the
/// connecting side use relays in place of the addresses that the platform's records name, as
/// address translation in a network does.
#[derive(Debug, Clone)]
pub(crate) struct Translation {
    pub(crate) from: Vec<u8>,
    pub(crate) to: Vec<u8>,
}

/// One link between two parts.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: watch::Sender<State>,
    passed: Arc<AtomicU64>,
}

/// Bytes that are read at once.
const PIECE_BYTES: usize = 64 << 10;

impl Link {
    /// Listens at `listen` and passes connections on to `target`.
    pub(crate) async fn bind(
        name: String,
        listen: SocketAddr,
        target: SocketAddr,
        translation: Option<Translation>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(State::default());
        let passed = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&passed);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (watched, counted) = (watched.clone(), Arc::clone(&counted));
                tokio::spawn(connect(
                    socket,
                    target,
                    watched,
                    translation.clone(),
                    counted,
                ));
            }
        });
        Ok(Self {
            name,
            address,
            state,
            passed,
        })
    }

    /// Changes what the link does.
    pub(crate) fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Returns the bytes that passed in both directions.
    pub(crate) fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    translation: Option<Translation>,
    passed: Arc<AtomicU64>,
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
    let requests = pump(
        near_read,
        far_write,
        state.clone(),
        |state| state.holds_requests,
        None,
        &passed,
    );
    let answers = pump(
        far_read,
        near_write,
        state.clone(),
        |state| state.holds_answers,
        translation,
        &passed,
    );
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        _ = state.wait_for(|state| state.is_cut) => {}
    }
}

async fn pump<Source, Sink>(
    mut source: Source,
    mut sink: Sink,
    mut state: watch::Receiver<State>,
    holds: fn(&State) -> bool,
    translation: Option<Translation>,
    passed: &AtomicU64,
) -> std::io::Result<()>
where
    Source: AsyncRead + Unpin,
    Sink: AsyncWrite + Unpin,
{
    let mut piece = vec![0; PIECE_BYTES];
    let mut pending = Vec::new();
    loop {
        let read = source.read(&mut piece).await?;
        pending.extend_from_slice(&piece[..read]);
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
        passed.fetch_add(ready as u64, Ordering::Relaxed);
        pending.drain(..ready);
        if read == 0 {
            return sink.shutdown().await;
        }
    }
}

impl Translation {
    /// Exchanges the bytes; returns how many may be passed on before the next read, because the
    /// last ones may be the beginning of an occurrence.
    fn apply(&self, bytes: &mut [u8]) -> usize {
        let length = self.from.len();
        for start in 0..bytes.len().saturating_sub(length - 1) {
            if bytes[start..start + length] == *self.from {
                bytes[start..start + length].copy_from_slice(&self.to);
            }
        }
        let tail = (1..length.min(bytes.len() + 1))
            .rev()
            .find(|&tail| bytes.ends_with(&self.from[..tail]));
        bytes.len() - tail.unwrap_or(0)
    }
}
