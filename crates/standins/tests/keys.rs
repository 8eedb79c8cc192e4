//! Mutual TLS between processes: key rotation under load, and keys that are refused.

use std::{cell::RefCell, fs, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use quinn::{RecvStream, SendStream};
use rstest::rstest;
use sequoiahold::{
    metrics::Metrics,
    net::{
        PeerConnections, Tls, TrafficCounter, call, listen, serve::CallHandler, watch_keys,
        write_message,
    },
    settings::{self, Keys},
};
use sequoiahold_core::{
    config::{ConfigCall, ConfigReply},
    ids::VmId,
    proto::{Call, Reply},
};
use sequoiahold_standins::keys::Authority;

/// Time within which rotated keys must be in use.
const ROTATION_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone)]
struct StaticServer;

impl CallHandler for StaticServer {
    async fn handle(&self, _: Call, mut send: SendStream, _: RecvStream) {
        let _ = write_message(&mut send, &Reply::Config(ConfigReply::Set(None))).await;
        let _ = send.finish();
    }
}

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("sequoiahold-keys-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn connections(keys: &Keys) -> PeerConnections {
    let tls = Tls::load(keys).expect("valid keys");
    PeerConnections::new(Rc::new(RefCell::new(tls)), TrafficCounter::default())
}

/// Makes a call on a new connection and returns whether it was answered.
async fn is_answered(keys: &Keys, addr: SocketAddr) -> bool {
    let server: VmId = "server".parse().expect("a name");
    let exchange = async {
        let connection = connections(keys).acquire(&server, addr).await?;
        call(&connection, &Call::Config(ConfigCall::Set)).await
    };
    let reply = actix_rt::time::timeout(Duration::from_secs(3), exchange).await;
    matches!(reply, Ok(Ok(Reply::Config(ConfigReply::Set(None)))))
}

fn start_server(keys: &Keys, addr: SocketAddr) -> (Rc<RefCell<Tls>>, Metrics) {
    let tls = Rc::new(RefCell::new(Tls::load(keys).expect("valid keys")));
    let listening =
        listen(addr, &tls.borrow(), TrafficCounter::default(), StaticServer).expect("a port");
    let metrics = Metrics::new(&settings::Metrics::default(), "server").expect("no sink");
    actix_rt::spawn(watch_keys(keys.clone(), tls.clone(), listening, metrics.clone()));
    (tls, metrics)
}

#[rstest]
fn key_rotation_under_load_fails_no_call() {
    actix_rt::System::new().block_on(async {
        let (old_dir, new_dir) = (TempDir::new("old"), TempDir::new("new"));
        let (old_authority, new_authority) =
            (Authority::create(&old_dir.0).unwrap(), Authority::create(&new_dir.0).unwrap());
        let (server, client) =
            (old_authority.issue("server").unwrap(), old_authority.issue("client").unwrap());
        let addr: SocketAddr = ([127, 50, 0, 1], 7400).into();
        let (_tls, metrics) = start_server(&server, addr);
        assert!(is_answered(&client, addr).await);

        // Both authorities are trusted before the certificates change, so that no call fails.
        fs::write(&server.ca, format!("{}{}", old_authority.pem(), new_authority.pem())).unwrap();
        actix_rt::time::sleep(ROTATION_TIMEOUT).await;
        let new_client = new_authority.issue("client").unwrap();
        fs::write(&new_client.ca, format!("{}{}", old_authority.pem(), new_authority.pem()))
            .unwrap();
        let new_server = new_authority.issue("server").unwrap();
        fs::copy(&new_server.cert, &server.cert).unwrap();
        fs::copy(&new_server.key, &server.key).unwrap();
        fs::write(&client.ca, format!("{}{}", old_authority.pem(), new_authority.pem())).unwrap();
        let mut failed = 0;
        for _ in 0..30 {
            failed += usize::from(!is_answered(&client, addr).await);
            failed += usize::from(!is_answered(&new_client, addr).await);
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(failed, 0);
        assert_eq!(metrics.counters().get("keys.rotated"), Some(&2));
    });
}

#[rstest]
#[case::unknown_authority(false)]
#[case::expired(true)]
fn an_untrusted_or_expired_certificate_gets_no_answer(#[case] expired: bool) {
    actix_rt::System::new().block_on(async {
        let host = 2 + u8::from(expired);
        let (own_dir, other_dir) =
            (TempDir::new(&format!("own{host}")), TempDir::new(&format!("other{host}")));
        let authority = Authority::create(&own_dir.0).unwrap();
        let server = authority.issue("server").unwrap();
        let addr: SocketAddr = ([127, 50, 0, host], 7400).into();
        let _serving = start_server(&server, addr);
        let mut rejected = if expired {
            authority.issue_expired("client").unwrap()
        } else {
            Authority::create(&other_dir.0).unwrap().issue("client").unwrap()
        };
        rejected.ca = server.ca.clone();
        assert!(!is_answered(&rejected, addr).await);
        assert!(is_answered(&authority.issue("good").unwrap(), addr).await);
    });
}

#[rstest]
fn unreadable_keys_leave_the_previous_keys_in_use() {
    actix_rt::System::new().block_on(async {
        let dir = TempDir::new("broken");
        let authority = Authority::create(&dir.0).unwrap();
        let (server, client) = (authority.issue("server").unwrap(), authority.issue("c").unwrap());
        let addr: SocketAddr = ([127, 50, 0, 4], 7400).into();
        let (_tls, metrics) = start_server(&server, addr);
        fs::write(&server.cert, "not a certificate").unwrap();
        actix_rt::time::sleep(ROTATION_TIMEOUT).await;
        assert!(is_answered(&client, addr).await);
        assert_eq!(metrics.counters().get("keys.refused"), Some(&1));
    });
}
