use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use control::{Action, Event, Member, Message, Node};
use platform::{Commit, Error, Hosts, Objects, Table, Write, config};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rules::Digest;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use types::Time;
use wire::{Client, Frame};

use super::{Input, View};
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Feeds events to the [`Node`] of a process and executes the actions that it returns.
pub(super) struct Driver {
    view: Arc<View>,
    node: Node,
    random: StdRng,
    client: Client,
    metrics: Metrics,
    pending: BTreeMap<u64, oneshot::Sender<Message>>,
    next_token: u64,
    /// Whether the members or the leaving hosts have changed since they were last published.
    changed: bool,
    publish_at: Time,
}

/// The minimum interval between publications of the members: a copy of all 3,330 takes about 1 ms.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// How many times a registration is tried when a concurrent write comes first.
const MAX_REGISTER_TRIES: u32 = 3;
/// The longest sleep; a tick that is due later is checked again after it.
const MAX_SLEEP: Duration = Duration::from_secs(1);

impl Driver {
    pub(super) fn new(
        view: Arc<View>,
        settings: &Settings,
        member: Member,
        metrics: Metrics,
    ) -> Self {
        let mut random = StdRng::from_os_rng();
        let node = Node::new(member, settings.seeds.clone(), crate::now(), &mut random);
        Self {
            view,
            node,
            random,
            client: Client::new(settings.keys()),
            metrics,
            pending: BTreeMap::new(),
            next_token: 0,
            changed: true,
            publish_at: Time::default(),
        }
    }

    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        loop {
            let now = crate::now();
            if self.changed && now >= self.publish_at {
                self.publish(now);
            }
            let mut wake_at = self.node.next_tick();
            if self.changed {
                wake_at = wake_at.min(self.publish_at);
            }
            let event = tokio::select! {
                input = queue.recv() => match input {
                    Some(Input::Event(event)) => event,
                    Some(Input::Request(message, reply)) => {
                        self.next_token += 1;
                        self.pending.insert(self.next_token, reply);
                        Event::Request(self.next_token, message)
                    }
                    None => return,
                },
                () = tokio::time::sleep(wake_at.since(now).min(MAX_SLEEP)) => Event::Tick,
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(event, crate::now(), &mut self.random);
        for action in actions {
            self.execute(action);
        }
        if let Some(last_contact) = self.node.last_contact() {
            // 0 means never.
            self.view
                .last_heard
                .store(last_contact.0.max(1), Ordering::Release);
        }
        self.view
            .ready
            .store(self.node.is_ready(), Ordering::Release);
        self.pending.retain(|_, reply| !reply.is_closed());
        self.update_isolation();
    }

    fn update_isolation(&mut self) {
        let isolated = i64::from(self.view.is_isolated());
        if self.metrics.isolated.get() != isolated {
            self.metrics.isolated.set(isolated);
            match isolated {
                0 => log::info!("the platform or a peer answers again; accepting new work"),
                _ => log::warn!("refusing new work until the platform or a peer answers"),
            }
        }
    }

    fn execute(&mut self, action: Action) {
        let view = Arc::clone(&self.view);
        let kind = match &action {
            Action::ReadHead(_) => Some("head"),
            Action::ReadText(..) => Some("text"),
            Action::ReadMembers => Some("members"),
            Action::ReadHosts => Some("hosts"),
            Action::Register(_) => Some("register"),
            _ => None,
        };
        if let Some(kind) = kind {
            self.metrics
                .platform_requests
                .with_label_values(&[kind])
                .inc();
        }
        match action {
            Action::Send(id, to, message) => {
                let client = self.client.clone();
                let control_requests = self.metrics.control_requests.clone();
                self.spawn(async move {
                    let request_timeout = message.timeout();
                    let (outcome, event) =
                        match timeout(request_timeout, request(&client, to, message)).await {
                            Ok(Ok(Some(Frame::Control(reply)))) => {
                                ("answered", Event::Reply(id, reply))
                            }
                            _ => ("failed", Event::Failed(id)),
                        };
                    control_requests.with_label_values(&[outcome]).inc();
                    event
                });
            }
            Action::Reply(token, message) => {
                if let Some(reply) = self.pending.remove(&token) {
                    // The peer may no longer wait for the reply.
                    let _ = reply.send(message);
                }
            }
            Action::ReadHead(sent_at) => {
                self.spawn(async move { Event::Head(sent_at, read_head(&view).await) });
            }
            Action::ReadText(version, digest) => self.spawn(async move {
                let name = format!("config/{}", blake3::Hash::from_bytes(digest).to_hex());
                let bytes = view.platform.get_object(&name).await.ok().flatten();
                let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
                Event::Text(version, digest, text.map(Arc::from))
            }),
            Action::ReadMembers => self.spawn(async move {
                let rows = view.platform.scan("member/").await.ok();
                Event::Members(rows.map(|rows| {
                    let rows = rows.into_iter();
                    rows.filter_map(|row| serde_json::from_value(row.value).ok())
                        .collect()
                }))
            }),
            Action::Register(member) => self.spawn(async move {
                let result = register(&view.platform, &member).await;
                if let Err(error) = &result {
                    log::debug!("registration failed: {error}");
                }
                Event::Registered(result.unwrap_or(false))
            }),
            Action::ReadHosts => self.spawn(async move {
                let hosts = view.platform.hosts().await.ok();
                Event::Hosts(hosts.map(|hosts| {
                    let leaving = hosts.into_iter().filter(|listed| listed.leaving);
                    leaving.map(|listed| listed.host).collect()
                }))
            }),
            Action::Adopt(snapshot) => {
                log::info!("configuration {} is in force", snapshot.version);
                let version = i64::try_from(snapshot.version.0).unwrap_or(i64::MAX);
                self.metrics.config_version.set(version);
                self.view.rules.store(snapshot);
            }
            Action::Publish => self.changed = true,
        }
    }

    /// Runs a future in the background and queues the event that it returns.
    fn spawn(&self, future: impl Future<Output = Event> + Send + 'static) {
        let inputs = self.view.inputs.clone();
        tokio::spawn(async move {
            let event = future.await;
            let _ = inputs.send(Input::Event(event)).await;
        });
    }

    fn publish(&mut self, now: Time) {
        let directory = self.node.directory(now);
        let (known, usable) = (
            self.node.member_count() as i64,
            directory.iter().count() as i64,
        );
        self.metrics.members.set(known);
        self.metrics.avoided.set(known - usable);
        let leaving = self.node.leaving().iter().cloned().collect();
        // The request path caches what it derives from the set for as long as the `Arc` stays the
        // same.
        if *self.view.leaving.load_full() != leaving {
            self.view.leaving.store(Arc::new(leaving));
        }
        self.view.directory.store(Arc::new(directory));
        self.changed = false;
        self.publish_at = now + PUBLISH_INTERVAL;
    }
}

async fn request(
    client: &Client,
    to: SocketAddr,
    message: Message,
) -> Result<Option<Frame>, wire::Error> {
    let mut stream = client.open_dedicated(to).await?;
    stream.sender.send(&Frame::Control(message)).await?;
    stream.sender.finish();
    stream.receiver.recv().await
}

async fn read_head(view: &View) -> Option<(types::Version, Digest)> {
    let (head, _) = match config::head(&view.platform).await {
        Ok(head) => head,
        Err(error) => {
            log::debug!("cannot read the accepted configuration: {error}");
            return None;
        }
    };
    if head.version.0 == 0 {
        return Some((head.version, Digest::default()));
    }
    let digest = blake3::Hash::from_hex(&head.digest).ok()?;
    Some((head.version, *digest.as_bytes()))
}

async fn register(platform: &platform::Client, member: &Member) -> Result<bool, Error> {
    let key = format!("member/{}", member.name);
    let value = serde_json::to_value(member).map_err(|error| Error::Data(error.to_string()))?;
    for _ in 0..MAX_REGISTER_TRIES {
        let row = platform.get(&key).await?;
        let write = Write {
            key: key.clone(),
            expect: row.map_or(0, |row| row.version),
            value: Some(value.clone()),
        };
        if matches!(platform.commit(&[write]).await?, Commit::Applied(_)) {
            return Ok(true);
        }
    }
    Ok(false)
}
