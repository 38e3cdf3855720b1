use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::auth::HANDSHAKE_TIMEOUT;
use crate::stream::{Receiver, Sender};
use crate::{Error, Keys, Stream};

/// Opens streams to other processes over one shared connection per address.
#[derive(Debug, Clone)]
pub struct Client {
    keys: Keys,
    pool: Arc<std::sync::Mutex<HashMap<SocketAddr, SharedConnection>>>,
}

/// The connection to an address; the lock prevents concurrent callers from connecting twice.
type SharedConnection = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// The interval of the pings on an open connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long the response to a ping may take before the connection counts as broken; a suspended
/// peer is abandoned after this time.
const PING_TIMEOUT: Duration = Duration::from_millis(1000);
/// The flow-control window of a stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// The flow-control window of a connection, in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            pool: Arc::default(),
        }
    }

    /// Opens a stream to `address`; connects first if there is no connection.
    ///
    /// # Errors
    /// Fails when no connection can be established; nothing was sent then.
    pub async fn open(&self, address: SocketAddr) -> Result<Stream, Error> {
        let slot = {
            let mut pool = self
                .pool
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            Arc::clone(pool.entry(address).or_default())
        };
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.take()
            && let Ok(connection) = connection.ready().await
        {
            return open_stream(slot.insert(connection));
        }
        let connection = self.connect(address).await?;
        let connection = connection.ready().await.map_err(Error::Open)?;
        open_stream(slot.insert(connection))
    }

    /// Opens a stream on a connection of its own, which is closed with the stream.
    ///
    /// This is for messages to random peers: pings on a persistent connection to each of them would
    /// cost more than the messages themselves.
    ///
    /// # Errors
    /// Fails as [`Client::open`] does.
    pub async fn open_dedicated(&self, address: SocketAddr) -> Result<Stream, Error> {
        let connection = self.connect(address).await?;
        let mut connection = connection.ready().await.map_err(Error::Open)?;
        open_stream(&mut connection)
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, Error> {
        let failed = |error| Error::Connect(address, error);
        let timed_out = |_elapsed| Error::Handshake(address, "it took longer than 2 s");
        let mut socket = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(timed_out)?
            .map_err(failed)?;
        socket.set_nodelay(true).map_err(failed)?;
        timeout(HANDSHAKE_TIMEOUT, self.keys.connect(&mut socket))
            .await
            .map_err(timed_out)?
            .map_err(|problem| Error::Handshake(address, problem))?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(socket)
            .await
            .map_err(Error::Open)?;
        let ping_pong = connection.ping_pong();
        tokio::spawn(async move {
            // The end of this task drops the connection, which breaks all its streams.
            tokio::select! {
                _ = connection => {}
                () = wait_until_unresponsive(ping_pong) => {}
            }
        });
        Ok(sender)
    }
}

/// Returns once the peer no longer responds to pings.
pub(crate) async fn wait_until_unresponsive(ping_pong: Option<h2::PingPong>) {
    let Some(mut ping_pong) = ping_pong else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, ping_pong.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

fn open_stream(connection: &mut SendRequest<Bytes>) -> Result<Stream, Error> {
    let request = http::Request::post("http://boragereel/")
        .body(())
        .map_err(|_error| Error::Frame("the request head cannot be built"))?;
    let (response, sender) = connection
        .send_request(request, false)
        .map_err(Error::Open)?;
    Ok(Stream {
        sender: Sender(sender),
        receiver: Receiver::pending(response),
    })
}
