//! Messages that the actor of a replica handles.

use actix::{ActorContext, AsyncContext, Context, Handler};
use pimentotide_consensus::{ClusterId, Event, HardState, Machine, Node, Recovered};
use pimentotide_model::{ErrorKind, Failure, Ran};

use super::actor::{PendingReply, Replica};
use super::handle::report_to;
use super::message::{
    Bootstrap, ChangeMembers, Delivery, GetStatus, GetWriterEnd, Granted, Halt, Propose, Query,
    Read, Refusal, Reopen, SetArbiters, Synced, TransferLeadership, WriteFailed,
};
use super::writer::Writer;

macro_rules! handlers {
    ($($message:ty, |$replica:ident, $received:pat_param, $ctx:pat_param| $body:block)*) => {$(
        impl<M> Handler<$message> for Replica<M>
        where
            M: Machine + Send + Unpin + 'static,
        {
            type Result = ();

            fn handle(&mut self, $received: $message, $ctx: &mut Self::Context) {
                let $replica = self;
                $body
            }
        }
    )*};
}

handlers! {
    Delivery, |replica, delivery, _| {
        if replica.bootstrap.is_some() {
            return;
        }
        for envelope in delivery.envelopes {
            replica.addresses.insert(envelope.from.name.clone(), delivery.address);
            replica.step(Event::Receive(envelope));
        }
    }
    Synced, |replica, Synced(ticket), _| {
        if replica.has_failed() {
            return;
        }
        replica.writer.synced(ticket);
        if let Some(write) = replica.bootstrap.take() {
            replica.start_bootstrapped(write);
            return;
        }
        replica.synced = replica.synced.max(ticket);
        let (ready, unsent) = std::mem::take(&mut replica.unsent)
            .into_iter()
            .partition::<Vec<_>, _>(|(after, _)| *after <= ticket);
        replica.unsent = unsent;
        for (_, envelope) in ready {
            replica.send(envelope);
        }
        replica.step(Event::Synced(ticket));
    }
    WriteFailed, |replica, WriteFailed(detail), _| {
        replica.fail(&detail);
    }
    GetWriterEnd, |replica, request, _| {
        // The requester may have dropped its receiver.
        let _ = request.reply.send(replica.writer.has_ended());
    }
    Reopen, |replica, request, ctx| {
        let result = if replica.has_failed() {
            Writer::spawn(request.storage, report_to(ctx.address()))
                .map_err(|e| Failure::new(ErrorKind::Internal, format!("no writer thread: {e}")))
                .and_then(|writer| replica.reopen(writer, request.recovered))
        } else {
            Ok(())
        };
        if result.is_ok() {
            replica.found(ctx.address());
        }
        // The requester may have dropped its receiver.
        let _ = request.reply.send(result);
    }
    Propose, |replica, request, _| {
        let id = replica.register(PendingReply::Command(request.reply));
        replica.step(Event::Propose(id, request.command.into()));
    }
    Read, |replica, request, _| {
        let id = replica.register(PendingReply::Position(request.reply));
        replica.step(Event::Read(id));
    }
    ChangeMembers, |replica, request, _| {
        log::info!("member change requested: {}", request.change);
        let id = replica.register(PendingReply::Command(request.reply));
        replica.step(Event::Change(id, request.change));
    }
    GetStatus, |replica, request, _| {
        // The requester may have dropped its receiver.
        let _ = request.reply.send(replica.status());
    }
    Bootstrap, |replica, request, _| {
        // A reopened replica asks anew while an earlier attempt may still be under way.
        if replica.bootstrap.is_some() || !replica.is_empty() || replica.has_failed() {
            return;
        }
        let empty = Recovered {
            // An earlier attempt may have stored the name of a log without its first entry.
            hard: HardState {
                cluster: None,
                ..replica.node.hard().clone()
            },
            snapshot: None,
            entries: Vec::new(),
        };
        let cluster = ClusterId(rand::random());
        if let Some(write) = Node::bootstrap(&empty, cluster, request.config) {
            replica.bootstrap = Some(write.clone());
            replica.writer.write(write);
        }
    }
    SetArbiters, |replica, SetArbiters(members), _| {
        replica.step(Event::Arbiters(members));
    }
    Granted, |replica, granted, _| {
        let Granted { ballot, arbiter, part } = granted;
        replica.step(Event::Granted { ballot, arbiter, part });
    }
    TransferLeadership, |replica, _, _| {
        replica.step(Event::Transfer);
    }
    Halt, |replica, request, ctx| {
        replica.writer.close();
        for pending in std::mem::take(&mut replica.pending).into_values() {
            let failure = Failure::new(ErrorKind::Stopping, "the replica stops");
            pending.reply.refuse(Refusal::from(failure.with_ran(Ran::Unknown)));
        }
        if replica.writer.join().is_err() {
            log::error!("the writer thread of {} panicked", replica.options.name);
        }
        // The requester may have dropped its receiver.
        let _ = request.done.send(());
        ctx.stop();
    }
}

impl<M> Handler<Query<M>> for Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    type Result = ();

    fn handle(&mut self, Query(run): Query<M>, _: &mut Context<Self>) {
        run(self.applier.machine(), self.applier.applied());
    }
}
