//! Explores every interleaving of the configuration protocol up to a fixed depth.

mod common;

use std::collections::BTreeMap;

use common::{address, member, rules};
use control::{Action, Event, Message, Node};
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::{Time, Version};

const NODES: usize = 2;
/// Steps of each explored run. Four steps from the last starting state suffice for a delayed text
/// from the platform to arrive after a newer version, or together with a delta computed for another
/// version.
const DEPTH: u32 = 6;

/// A possible next event.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Choice {
    /// The message at this position is delivered; the order is arbitrary.
    Deliver(usize),
    /// The message at this position is lost, and its sender is notified of the failure.
    Lose(usize),
    /// A node requests the accepted version from the platform.
    Read(usize),
    /// A node performs its next scheduled work.
    Tick(usize),
    /// An operator performs its next step; the flag says whether the response is lost.
    Operate(usize, bool),
}

#[derive(Debug, Clone)]
enum Flight {
    Request(usize, u64, usize, Message),
    Answer(usize, u64, Message),
    Platform(usize, Event),
}

/// The progress of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Operator {
    Idle,
    /// The operator has read this version and proposes the next one.
    Read(Version),
    /// The operator does not know whether its write of this version took effect.
    Unsure(Version),
    Accepted(Version),
    Raced,
}

#[derive(Debug, Clone)]
struct World {
    nodes: Vec<Node>,
    now: Time,
    flights: Vec<Flight>,
    tokens: BTreeMap<u64, (usize, u64)>,
    next_token: u64,
    /// The accepted texts and the operator that made each change; operator 9 made the first one.
    accepted: BTreeMap<Version, (usize, String)>,
    operators: [Operator; 2],
    greatest: Vec<Version>,
}

impl World {
    fn new() -> Self {
        let mut random = StdRng::seed_from_u64(1);
        let nodes = (0..NODES)
            .map(|index| Node::new(member(index), Vec::new(), Time::default(), &mut random));
        let mut world = Self {
            nodes: nodes.collect(),
            now: Time::default(),
            flights: Vec::new(),
            tokens: BTreeMap::new(),
            next_token: 0,
            accepted: BTreeMap::from([(Version(1), (9, rules(2, 0)))]),
            operators: [Operator::Idle; 2],
            greatest: vec![Version(0); NODES],
        };
        let members: Vec<_> = (0..NODES).map(member).collect();
        for node in 0..NODES {
            world.handle(node, Event::Members(Some(members.clone())));
            world.handle(node, world.head());
            let text = world.text(Version(1));
            world.handle(node, text);
        }
        world.flights.clear();
        world
    }

    fn head(&self) -> Event {
        let (version, (_, text)) = self.accepted.last_key_value().expect("never empty");
        Event::Head(
            self.now,
            Some((*version, *blake3::hash(text.as_bytes()).as_bytes())),
        )
    }

    fn text(&self, version: Version) -> Event {
        let (_, text) = &self.accepted[&version];
        let digest = *blake3::hash(text.as_bytes()).as_bytes();
        Event::Text(version, digest, Some(text.as_str().into()))
    }

    fn handle(&mut self, index: usize, event: Event) {
        // The seed is deterministic; with two nodes there is only one possible peer.
        let mut random = StdRng::seed_from_u64(self.next_token);
        for action in self.nodes[index].handle(event, self.now, &mut random) {
            match action {
                Action::Send(id, to, message) => {
                    let to = (0..NODES)
                        .find(|peer| address(*peer) == to)
                        .expect("a node");
                    self.flights.push(Flight::Request(index, id, to, message));
                }
                Action::Reply(token, message) => {
                    if let Some((to, id)) = self.tokens.remove(&token) {
                        self.flights.push(Flight::Answer(to, id, message));
                    }
                }
                Action::ReadText(version, _) => {
                    let text = self.text(version);
                    self.flights.push(Flight::Platform(index, text));
                }
                Action::ReadHead(_) => self.flights.push(Flight::Platform(index, self.head())),
                _ => {}
            }
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for (index, flight) in self.flights.iter().enumerate() {
            // A push sends several copies of the same message, because there is only one peer.
            let same = |other: &Flight| match (flight, other) {
                (Flight::Request(from, _, _, first), Flight::Request(other, _, _, second)) => {
                    from == other && first == second
                }
                _ => false,
            };
            if !self.flights[..index].iter().any(same) {
                choices.extend([Choice::Deliver(index), Choice::Lose(index)]);
            }
        }
        for node in 0..NODES {
            choices.extend([Choice::Read(node), Choice::Tick(node)]);
        }
        for (index, operator) in self.operators.iter().enumerate() {
            match operator {
                Operator::Read(_) => {
                    choices.extend([Choice::Operate(index, false), Choice::Operate(index, true)]);
                }
                Operator::Idle | Operator::Unsure(_) => choices.push(Choice::Operate(index, false)),
                Operator::Accepted(_) | Operator::Raced => {}
            }
        }
        choices
    }

    fn take(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver(flight) => match self.flights.remove(flight) {
                Flight::Request(from, id, to, message) => {
                    self.next_token += 1;
                    self.tokens.insert(self.next_token, (from, id));
                    self.handle(to, Event::Request(self.next_token, message));
                }
                Flight::Answer(to, id, message) => self.handle(to, Event::Reply(id, message)),
                Flight::Platform(to, event) => self.handle(to, event),
            },
            Choice::Lose(flight) => match self.flights.remove(flight) {
                Flight::Request(from, id, ..) => self.handle(from, Event::Failed(id)),
                Flight::Answer(to, id, _) => self.handle(to, Event::Failed(id)),
                Flight::Platform(to, Event::Text(version, digest, _)) => {
                    self.handle(to, Event::Text(version, digest, None));
                }
                Flight::Platform(to, _) => self.handle(to, Event::Head(self.now, None)),
            },
            Choice::Read(node) => self.flights.push(Flight::Platform(node, self.head())),
            Choice::Tick(node) => {
                self.now = self.now.max(self.nodes[node].next_tick());
                self.handle(node, Event::Tick);
            }
            Choice::Operate(index, lost) => self.operate(index, lost),
        }
    }

    fn operate(&mut self, index: usize, lost: bool) {
        let head = *self.accepted.keys().next_back().expect("never empty");
        self.operators[index] = match self.operators[index] {
            Operator::Read(base) if head == base => {
                let version = Version(base.0 + 1);
                let text = rules(2, index + 1);
                self.accepted.insert(version, (index, text));
                match lost {
                    true => Operator::Unsure(version),
                    false => Operator::Accepted(version),
                }
            }
            Operator::Read(base) if lost => Operator::Unsure(Version(base.0 + 1)),
            Operator::Read(_) => Operator::Raced,
            // The record of that version identifies the operator whose change was accepted.
            Operator::Unsure(version) => match self.accepted.get(&version) {
                Some((owner, _)) if *owner == index => Operator::Accepted(version),
                _ => Operator::Raced,
            },
            _ => Operator::Read(head),
        };
    }

    fn check(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let rules = node.rules();
            assert!(
                rules.version >= self.greatest[index],
                "node {index} went back to {}",
                rules.version
            );
            let accepted = self.accepted.get(&rules.version);
            let text = accepted.map(|(_, text)| text.as_str());
            assert_eq!(text, Some(rules.text.as_str()), "not what was accepted");
            self.greatest[index] = rules.version;
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if let Operator::Accepted(version) = operator {
                assert_eq!(
                    self.accepted[version].0, index,
                    "another change is accepted"
                );
            }
        }
    }
}

/// Explores all runs of `depth` further steps; returns the number of states checked.
fn explore(world: &World, depth: u32) -> u64 {
    if depth == 0 {
        return 0;
    }
    let mut states = 0;
    for choice in world.choices() {
        let mut next = world.clone();
        next.take(choice);
        next.check();
        states += 1 + explore(&next, depth - 1);
    }
    states
}

/// Delivers the message that was sent last.
fn deliver_last(world: &mut World) {
    let last = world.flights.len() - 1;
    world.take(Choice::Deliver(last));
}

/// Guards against message orders, losses and concurrent operators that make a node revert or adopt
/// a configuration that was not accepted, or that make an operator believe that its change was
/// accepted when another one was.
#[test]
fn no_interleaving_reverts_a_version() {
    let settled = World::new();
    let versions = |world: &World| -> Vec<u64> {
        let nodes = world.nodes.iter();
        nodes.map(|node| node.rules().version.0).collect()
    };
    assert_eq!(versions(&settled), [1, 1]);
    // Operator 0 has created version 2, and node 0 waits for its text.
    let mut reading = settled.clone();
    reading.take(Choice::Operate(0, false));
    reading.take(Choice::Operate(0, false));
    reading.take(Choice::Read(0));
    deliver_last(&mut reading);
    // Operator 1 has created version 3; node 1 has adopted it and notifies node 0.
    let mut pushed = reading.clone();
    pushed.take(Choice::Operate(1, false));
    pushed.take(Choice::Operate(1, true));
    pushed.take(Choice::Read(1));
    deliver_last(&mut pushed);
    deliver_last(&mut pushed);
    assert_eq!(versions(&pushed), [1, 3]);
    for (name, world) in [
        ("settled", settled),
        ("reading", reading),
        ("pushed", pushed),
    ] {
        let states = explore(&world, DEPTH);
        println!("{name}: {states} states");
        assert!(states > 20_000, "only {states} states were reached");
    }
}
