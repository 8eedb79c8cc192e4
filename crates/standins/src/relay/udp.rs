//! UDP relay.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use actix_rt::net::UdpSocket;

use super::RelayFilter;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// A running UDP relay.
#[derive(Clone, Debug)]
pub struct UdpRelay {
    /// Filter for the forwarded traffic.
    pub filter: RelayFilter,
    /// Address that the relay listens on.
    pub addr: SocketAddr,
}

/// The datagrams of one client address.
#[derive(Clone, Debug)]
struct Flow {
    upstream: Rc<UdpSocket>,
    epoch: u64,
}

impl UdpRelay {
    /// Relays datagrams from `addr` to `to`; fails if `addr` cannot be bound.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> anyhow::Result<Self> {
        let relay = Self { filter: RelayFilter::default(), addr };
        let socket = Rc::new(UdpSocket::bind(addr).await?);
        actix_rt::spawn(relay.clone().relay_datagrams(socket, to));
        Ok(relay)
    }

    async fn relay_datagrams(self, socket: Rc<UdpSocket>, to: SocketAddr) {
        let flows: Rc<RefCell<BTreeMap<SocketAddr, Flow>>> = Rc::default();
        let mut datagram = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((size, client)) = socket.recv_from(&mut datagram).await else { continue };
            let known = flows.borrow().get(&client).cloned();
            let flow = match known {
                Some(flow) => flow,
                None => match self.open_flow(&socket, client, to).await {
                    Ok(flow) => {
                        flows.borrow_mut().insert(client, flow.clone());
                        flow
                    }
                    Err(_) => continue,
                },
            };
            if self.filter.allows(client.ip(), flow.epoch) {
                let _ = flow.upstream.send(&datagram[..size]).await;
            }
        }
    }

    async fn open_flow(
        &self,
        socket: &Rc<UdpSocket>,
        client: SocketAddr,
        to: SocketAddr,
    ) -> anyhow::Result<Flow> {
        let upstream = Rc::new(UdpSocket::bind((self.addr.ip(), 0)).await?);
        upstream.connect(to).await?;
        let flow = Flow { upstream, epoch: self.filter.epoch() };
        actix_rt::spawn(relay_replies(self.filter.clone(), flow.clone(), socket.clone(), client));
        Ok(flow)
    }
}

async fn relay_replies(filter: RelayFilter, flow: Flow, socket: Rc<UdpSocket>, client: SocketAddr) {
    let source: IpAddr = client.ip();
    let mut datagram = vec![0; MAX_DATAGRAM];
    loop {
        match flow.upstream.recv(&mut datagram).await {
            Ok(size) if filter.allows(source, flow.epoch) => {
                let _ = socket.send_to(&datagram[..size], client).await;
            }
            Ok(_) => {}
            // Nothing listens at the target address; the flow recovers once a process does.
            Err(_) => actix_rt::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}
