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
enum InFlight {
    Request(usize, u64, usize, Message),
    Reply(usize, u64, Message),
    Platform(usize, Event),
}

/// The progress of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Operator {
    Idle,
    /// The operator has read this version and proposes the next one.
    Read(Version),
    /// The operator does not know whether its write of this version took effect.
    Lost(Version),
    Accepted(Version),
    Conflict,
}

#[derive(Debug, Clone)]
struct Simulation {
    nodes: Vec<Node>,
    now: Time,
    in_flight: Vec<InFlight>,
    tokens: BTreeMap<u64, (usize, u64)>,
    next_token: u64,
    /// The accepted texts and the operator that made each change; operator 9 made the first one.
    accepted: BTreeMap<Version, (usize, String)>,
    operators: [Operator; 2],
    newest: Vec<Version>,
}

impl Simulation {
    fn new() -> Self {
        let mut random = StdRng::seed_from_u64(1);
        let nodes = (0..NODES)
            .map(|index| Node::new(member(index), Vec::new(), Time::default(), &mut random));
        let mut simulation = Self {
            nodes: nodes.collect(),
            now: Time::default(),
            in_flight: Vec::new(),
            tokens: BTreeMap::new(),
            next_token: 0,
            accepted: BTreeMap::from([(Version(1), (9, rules(2, 0)))]),
            operators: [Operator::Idle; 2],
            newest: vec![Version(0); NODES],
        };
        let members: Vec<_> = (0..NODES).map(member).collect();
        for node in 0..NODES {
            simulation.handle(node, Event::Members(Some(members.clone())));
            simulation.handle(node, simulation.head());
            let text = simulation.text(Version(1));
            simulation.handle(node, text);
        }
        simulation.in_flight.clear();
        simulation
    }

    fn head(&self) -> Event {
        let (version, (_, text)) = self
            .accepted
            .last_key_value()
            .expect("the first version always exists");
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
                        .expect("the address of a node");
                    self.in_flight
                        .push(InFlight::Request(index, id, to, message));
                }
                Action::Reply(token, message) => {
                    if let Some((to, id)) = self.tokens.remove(&token) {
                        self.in_flight.push(InFlight::Reply(to, id, message));
                    }
                }
                Action::ReadText(version, _) => {
                    let text = self.text(version);
                    self.in_flight.push(InFlight::Platform(index, text));
                }
                Action::ReadHead(_) => self.in_flight.push(InFlight::Platform(index, self.head())),
                _ => {}
            }
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for (index, message) in self.in_flight.iter().enumerate() {
            // A push sends several copies of the same message, because there is only one peer.
            let same = |other: &InFlight| match (message, other) {
                (InFlight::Request(from, _, _, first), InFlight::Request(other, _, _, second)) => {
                    from == other && first == second
                }
                _ => false,
            };
            if !self.in_flight[..index].iter().any(same) {
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
                Operator::Idle | Operator::Lost(_) => choices.push(Choice::Operate(index, false)),
                Operator::Accepted(_) | Operator::Conflict => {}
            }
        }
        choices
    }

    fn perform(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver(message) => match self.in_flight.remove(message) {
                InFlight::Request(from, id, to, message) => {
                    self.next_token += 1;
                    self.tokens.insert(self.next_token, (from, id));
                    self.handle(to, Event::Request(self.next_token, message));
                }
                InFlight::Reply(to, id, message) => self.handle(to, Event::Reply(id, message)),
                InFlight::Platform(to, event) => self.handle(to, event),
            },
            Choice::Lose(message) => match self.in_flight.remove(message) {
                InFlight::Request(from, id, ..) => self.handle(from, Event::Failed(id)),
                InFlight::Reply(to, id, _) => self.handle(to, Event::Failed(id)),
                InFlight::Platform(to, Event::Text(version, digest, _)) => {
                    self.handle(to, Event::Text(version, digest, None));
                }
                InFlight::Platform(to, _) => self.handle(to, Event::Head(self.now, None)),
            },
            Choice::Read(node) => self.in_flight.push(InFlight::Platform(node, self.head())),
            Choice::Tick(node) => {
                self.now = self.now.max(self.nodes[node].next_tick());
                self.handle(node, Event::Tick);
            }
            Choice::Operate(index, lost) => self.operate(index, lost),
        }
    }

    fn operate(&mut self, index: usize, lost: bool) {
        let head = *self
            .accepted
            .keys()
            .next_back()
            .expect("the first version always exists");
        self.operators[index] = match self.operators[index] {
            Operator::Read(base) if head == base => {
                let version = Version(base.0 + 1);
                let text = rules(2, index + 1);
                self.accepted.insert(version, (index, text));
                match lost {
                    true => Operator::Lost(version),
                    false => Operator::Accepted(version),
                }
            }
            Operator::Read(base) if lost => Operator::Lost(Version(base.0 + 1)),
            Operator::Read(_) => Operator::Conflict,
            // The record of that version identifies the operator whose change was accepted.
            Operator::Lost(version) => match self.accepted.get(&version) {
                Some((owner, _)) if *owner == index => Operator::Accepted(version),
                _ => Operator::Conflict,
            },
            _ => Operator::Read(head),
        };
    }

    fn check(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let rules = node.rules();
            assert!(
                rules.version >= self.newest[index],
                "node {index} reverted to {}",
                rules.version
            );
            let accepted = self.accepted.get(&rules.version);
            let text = accepted.map(|(_, text)| text.as_str());
            assert_eq!(
                text,
                Some(rules.text.as_str()),
                "the text differs from the accepted one"
            );
            self.newest[index] = rules.version;
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if let Operator::Accepted(version) = operator {
                assert_eq!(
                    self.accepted[version].0, index,
                    "the change of another operator was accepted"
                );
            }
        }
    }
}

/// Explores all runs of `depth` further steps; returns the number of states checked.
fn explore(simulation: &Simulation, depth: u32) -> u64 {
    if depth == 0 {
        return 0;
    }
    let mut states = 0;
    for choice in simulation.choices() {
        let mut next = simulation.clone();
        next.perform(choice);
        next.check();
        states += 1 + explore(&next, depth - 1);
    }
    states
}

/// Delivers the message that was sent last.
fn deliver_last(simulation: &mut Simulation) {
    let last = simulation.in_flight.len() - 1;
    simulation.perform(Choice::Deliver(last));
}

/// Guards against message orders, losses and concurrent operators that make a node revert or adopt
/// a configuration that was not accepted, or that make an operator believe that its change was
/// accepted when another one was.
#[test]
fn no_interleaving_reverts_a_version() {
    let converged = Simulation::new();
    let versions = |simulation: &Simulation| -> Vec<u64> {
        let nodes = simulation.nodes.iter();
        nodes.map(|node| node.rules().version.0).collect()
    };
    assert_eq!(versions(&converged), [1, 1]);
    // Operator 0 has created version 2, and node 0 waits for its text.
    let mut reading = converged.clone();
    reading.perform(Choice::Operate(0, false));
    reading.perform(Choice::Operate(0, false));
    reading.perform(Choice::Read(0));
    deliver_last(&mut reading);
    // Operator 1 has created version 3; node 1 has adopted it and notifies node 0.
    let mut pushed = reading.clone();
    pushed.perform(Choice::Operate(1, false));
    pushed.perform(Choice::Operate(1, true));
    pushed.perform(Choice::Read(1));
    deliver_last(&mut pushed);
    deliver_last(&mut pushed);
    assert_eq!(versions(&pushed), [1, 3]);
    for (name, simulation) in [
        ("converged", converged),
        ("reading", reading),
        ("pushed", pushed),
    ] {
        let states = explore(&simulation, DEPTH);
        println!("{name}: {states} states");
        assert!(states > 20_000, "only {states} states were reached");
    }
}
