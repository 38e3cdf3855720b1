use std::sync::Arc;

use control::Message;
use tokio::sync::oneshot;
use wire::{Frame, Listener, Stream};

use super::{Input, View};

/// Serves the streams of a process that takes nothing but control messages from others.
pub async fn accept(mut listener: Listener, view: Arc<View>) {
    while let Some(mut stream) = listener.accept().await {
        let view = Arc::clone(&view);
        tokio::spawn(async move {
            match stream.receiver.recv().await {
                Ok(Some(Frame::Control(message))) => view.serve(message, &mut stream).await,
                Ok(None) => {}
                Ok(Some(_)) => log::warn!("a stream started with a frame that is not for entries"),
                Err(error) => log::warn!("a stream carried no frame: {error}"),
            }
        });
    }
}

impl View {
    /// Answers a control message of a peer.
    pub async fn serve(&self, message: Message, stream: &mut Stream) {
        let (sender, answer) = oneshot::channel();
        if self
            .inputs
            .try_send(Input::Request(message, sender))
            .is_err()
        {
            // The peer sees the stream end without an answer and asks another process.
            return;
        }
        if let Ok(answer) = answer.await {
            let _ = stream.sender.send(&Frame::Control(answer)).await;
            stream.sender.finish();
        }
    }
}
