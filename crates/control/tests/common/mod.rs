#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{Ipv4Addr, SocketAddr};

use control::simulation::Network;
use control::{Member, Message, Role};
use types::{Domain, Host, Incarnation, Model, Region, Target};
use wire::Frame;

/// Returns the encoded size of a message on a stream, including the length prefix.
pub fn message_size(message: &Message) -> usize {
    wire::encode(&Frame::Control(message.clone()))
        .expect("the message fits into a frame")
        .len()
}

/// Returns the address of the process with the given index.
pub fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, a, b, c), 7000))
}

/// Returns the process with the given index: 28% entries, 3 regions with 3 failure domains each.
pub fn member(index: usize) -> Member {
    let domain = index % 9;
    Member {
        name: format!("process-{index:05}"),
        incarnation: Incarnation(1_790_000_000_000),
        address: address(index),
        host: Host::from(format!("host-{index:05}")),
        domain: Domain::from(format!("domain-{domain}")),
        region: Region::from(format!("region-{}", domain / 3)),
        role: match index % 100 {
            0..28 => Role::Entry,
            _ => Role::Engine {
                target: Target::from(format!("target-{index:05}")),
                model: Model::from(format!("model-{}", index % 16)),
            },
        },
    }
}

/// Returns rules with one line per team; `change` makes versions differ.
pub fn rules(teams: usize, change: usize) -> String {
    let mut text = String::new();
    for team in 0..teams {
        let rate = if team == change % teams {
            100 + change
        } else {
            20
        };
        text.push_str(&format!(
            "team team-{team} key={team:064x} rate={rate} # ana: contract {team}\n"
        ));
    }
    text
}

/// Returns a network of `size` processes in steady state.
pub fn converged(size: usize, teams: usize, seed: u64) -> Network {
    let mut network = Network::new(message_size, seed);
    for index in 0..size {
        network.add(member(index), vec![address(0), address(1), address(2)]);
    }
    network.platform.accept(&rules(teams, 0));
    network.converge();
    network
}
