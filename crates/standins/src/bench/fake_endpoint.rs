//! A fake endpoint that answers heartbeats and requests over the real protocol.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use quinn::{RecvStream, SendStream};
use sequoiahold::net::{Tls, TrafficCounter, listen, serve::CallHandler, write_message};
use sequoiahold_core::{
    config::{ConfigCall, ConfigReply, Gossip},
    ids::{Generation, Incarnation, VmId},
    proto::{Call, Heartbeat, Load, Reply, Started},
};

/// A fake endpoint, which accepts every request.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    /// The name of the VM.
    pub vm: VmId,
    /// The address of the VM.
    pub addr: SocketAddr,
    /// The number of parts of an answer.
    pub parts: u32,
    /// The pause before each part.
    pub pause: Duration,
}

impl FakeEndpoint {
    /// Starts to listen; fails if the address cannot be bound.
    pub fn start(self, tls: &Tls) -> anyhow::Result<()> {
        listen(self.addr, tls, TrafficCounter::default(), self)?;
        Ok(())
    }

    fn heartbeat(&self) -> Heartbeat {
        let version = "llm-1".parse().ok();
        let load = Load { version, limit: 1_000, running: 0, open: true, credit: 1_000 };
        Heartbeat {
            vm: self.vm.clone(),
            incarnation: Incarnation(1),
            generation: Generation(1),
            crashes: vec![],
            load: Some(load),
            demand: 0,
        }
    }

    async fn answer(&self, send: &mut SendStream) -> anyhow::Result<()> {
        let started = Started {
            status: 200,
            content_type: "text/event-stream".to_owned(),
            version: "llm-1".parse().ok(),
            incarnation: Incarnation(1),
        };
        write_message(send, &Reply::Started(started)).await?;
        let data =
            Bytes::from_static(b"data: {\"choices\":[{\"delta\":{\"content\":\"token\"}}]}\n\n");
        for number in 0..self.parts {
            actix_rt::time::sleep(self.pause).await;
            write_message(send, &Reply::Part(number, data.clone())).await?;
        }
        write_message(send, &Reply::End(self.parts)).await
    }
}

impl CallHandler for FakeEndpoint {
    async fn handle(&self, call: Call, mut send: SendStream, _: RecvStream) {
        let done = match call {
            Call::Heartbeat(_) => {
                write_message(&mut send, &Reply::Heartbeat(Box::new(self.heartbeat()))).await
            }
            Call::Config(ConfigCall::Gossip(received)) => {
                let gossip = Gossip { vm: self.vm.clone(), addr: self.addr, ..*received };
                write_message(&mut send, &Reply::Config(ConfigReply::Gossip(Box::new(gossip))))
                    .await
            }
            Call::Run(_) => self.answer(&mut send).await,
            _ => Ok(()),
        };
        if done.is_ok() {
            let _ = send.finish();
        }
    }
}
