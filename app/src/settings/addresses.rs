//! Checks for duplicate addresses and names.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pimentotide_document::Section;

use super::{Peer, Settings};

/// Reports listeners of this process that share an address.
pub(super) fn check_listeners(top: &Section<'_>, settings: &Settings) {
    let mut listeners: Vec<(&str, SocketAddr)> = Vec::new();
    if let Some(entry) = &settings.entry {
        listeners.push(("entry.listen", entry.listen));
    }
    if let Some(replica) = &settings.replica {
        listeners.push(("replica.listen", replica.listen));
        listeners.push(("replica.operator", replica.operator));
    }
    if let Some(agent) = &settings.agent {
        listeners.push(("agent.listen", agent.listen));
        listeners.push(("agent.engine", agent.engine));
    }
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (path, address) in listeners {
        if address.port() == 0 {
            continue;
        }
        if let Some(first) = seen.insert(address, path) {
            let role = path.split('.').next().unwrap_or(path);
            top.note(
                role,
                format!("{path} and {first} are both {address}; give each its own"),
            );
        }
    }
}

/// Reports instances of a list that share a name or an address.
pub(super) fn check_peers(top: &Section<'_>, key: &str, peers: &[Peer]) {
    for (i, peer) in peers.iter().enumerate() {
        let earlier = &peers[..i];
        if earlier.iter().any(|p| p.name == peer.name) {
            top.note(
                key,
                format!("the name {} is given twice; names are unique", peer.name),
            );
        }
        if earlier.iter().any(|p| p.address == peer.address) {
            top.note(key, format!("the address {} is given twice", peer.address));
        }
    }
}
