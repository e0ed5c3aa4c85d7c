//! Requests of a replica to the arbiters of its log.

use std::collections::BTreeMap;

use actix::Recipient;
use pimentotide_consensus::{GrantRequest, Identity, Member};
use pimentotide_model::InstanceName;

use super::message::Granted;
use crate::{ArbiterClient, Token};

/// Sends the request to all arbiters and passes on each grant.
pub(super) fn ask(
    arbiters: BTreeMap<InstanceName, Member>,
    request: &GrantRequest,
    token: &Token,
    grants: &Recipient<Granted>,
) {
    let names = |voters: Vec<&InstanceName>| {
        let names: Vec<_> = voters.into_iter().map(InstanceName::as_str).collect();
        names.join(", ")
    };
    let absent: Vec<Identity> = request.absent().map(|(who, _)| who).collect();
    log::info!(
        "asks {} arbiters in {} to let {} act without {}",
        arbiters.len(),
        request.ballot,
        names(request.part.iter().map(|v| &v.name).collect()),
        names(absent.iter().map(|v| &v.name).collect()),
    );
    for (name, member) in arbiters {
        let client = ArbiterClient::connect(member.address, token.clone());
        let (request, grants) = (request.clone(), grants.clone());
        actix_rt::spawn(async move {
            match client.grant(member.disk, &request).await {
                Ok(()) => {
                    log::info!("{name} granted the request in {}", request.ballot);
                    grants.do_send(Granted {
                        ballot: request.ballot,
                        arbiter: Identity {
                            name,
                            disk: member.disk,
                        },
                        part: request.part,
                    });
                }
                Err(failure) => log::info!("{name} did not grant the request: {failure}"),
            }
        });
    }
}
