use std::sync::Arc;

use control::Message;
use tokio::sync::oneshot;
use wire::{Frame, Listener, Stream};

use super::{Input, View};

/// Serves the streams of a process that accepts only control messages from others.
pub async fn accept(mut listener: Listener, view: Arc<View>) {
    while let Some(mut stream) = listener.accept().await {
        let view = Arc::clone(&view);
        tokio::spawn(async move {
            match stream.receiver.recv().await {
                Ok(Some(Frame::Control(message))) => view.serve(message, &mut stream).await,
                Ok(None) => {}
                Ok(Some(_)) => log::warn!("a stream started with an unexpected frame"),
                Err(error) => log::warn!("cannot read the first frame of a stream: {error}"),
            }
        });
    }
}

impl View {
    /// Replies to a control message of a peer.
    pub async fn serve(&self, message: Message, stream: &mut Stream) {
        let (sender, reply) = oneshot::channel();
        if self
            .inputs
            .try_send(Input::Request(message, sender))
            .is_err()
        {
            // The peer sees the stream end without a reply and asks another process.
            return;
        }
        if let Ok(reply) = reply.await {
            let _ = stream.sender.send(&Frame::Control(reply)).await;
            stream.sender.finish();
        }
    }
}
