//! Rate limit of the simulated weight store.

use std::net::{Ipv4Addr, SocketAddr};

use awc::Client;
use rstest::rstest;
use sequoiahold_core::units::Bytes;
use sequoiahold_standins::{content::Content, deployment::network::Network, store::Store};

#[rstest]
#[actix_rt::test]
async fn calls_above_the_rate_are_refused() {
    let network = Network::reserve().unwrap();
    let declared: SocketAddr = (Ipv4Addr::LOCALHOST, 7020).into();
    let addr = network.translate(declared);
    let store = Store::start(addr, 5).await.unwrap();
    let content = Content::of(&"model-1".parse().unwrap(), Bytes(64_000), Bytes(8_000)).unwrap();
    store.add(&content);
    let digest = content.manifest.chunks[0];
    let mut refused = 0;
    for _ in 0..20 {
        let sent = Client::default().get(format!("http://{addr}/v1/blobs/{digest}")).send();
        let response = sent.await.unwrap();
        if response.status() == 429 {
            assert!(response.headers().contains_key("retry-after"));
            refused += 1;
        }
    }
    let state = store.state.borrow();
    assert!(refused >= 5 && state.refused == refused, "{refused} refused");
    assert_eq!(state.bytes_sent, (20 - refused) * 8_000);
}
