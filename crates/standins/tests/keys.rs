//! Mutual TLS keys between processes: rotation under load, and keys that are refused.

use std::{cell::RefCell, fs, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use quinn::{RecvStream, SendStream};
use rstest::rstest;
use sequoiahold::{
    metrics::Metrics,
    net::{Links, Tls, Traffic, call, listen, rotate, serve::Serve, write},
    settings::{self, Keys},
};
use sequoiahold_core::{
    config::{ConfigCall, ConfigReply},
    ids::VmId,
    proto::{Call, Reply},
};
use sequoiahold_standins::keys::Authority;

/// Time in which a rotation must be in force.
const ROTATION: Duration = Duration::from_secs(3);

#[derive(Clone)]
struct Answering;

impl Serve for Answering {
    async fn serve(&self, _: Call, mut send: SendStream, _: RecvStream) {
        let _ = write(&mut send, &Reply::Config(ConfigReply::Set(None))).await;
        let _ = send.finish();
    }
}

struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("sequoiahold-keys-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn links(keys: &Keys) -> Links {
    let tls = Tls::load(keys).expect("sound keys");
    Links::new(Rc::new(RefCell::new(tls)), Traffic::default())
}

/// Makes one call on a new connection and returns whether it was answered.
async fn answered(keys: &Keys, addr: SocketAddr) -> bool {
    let server: VmId = "server".parse().expect("a name");
    let asked = async {
        let connection = links(keys).get(&server, addr).await?;
        call(&connection, &Call::Config(ConfigCall::Set)).await
    };
    let reply = actix_rt::time::timeout(Duration::from_secs(3), asked).await;
    matches!(reply, Ok(Ok(Reply::Config(ConfigReply::Set(None)))))
}

fn serve(keys: &Keys, addr: SocketAddr) -> (Rc<RefCell<Tls>>, Metrics) {
    let tls = Rc::new(RefCell::new(Tls::load(keys).expect("sound keys")));
    let listening = listen(addr, &tls.borrow(), Traffic::default(), Answering).expect("a port");
    let metrics = Metrics::new(&settings::Metrics::default(), "server").expect("no sink");
    actix_rt::spawn(rotate(keys.clone(), tls.clone(), listening, metrics.clone()));
    (tls, metrics)
}

#[rstest]
fn a_rotation_under_load_breaks_no_call() {
    actix_rt::System::new().block_on(async {
        let (old, new) = (Dir::new("old"), Dir::new("new"));
        let (one, two) = (Authority::create(&old.0).unwrap(), Authority::create(&new.0).unwrap());
        let (server, client) = (one.issue("server").unwrap(), one.issue("client").unwrap());
        let addr: SocketAddr = ([127, 50, 0, 1], 7400).into();
        let (_tls, metrics) = serve(&server, addr);
        assert!(answered(&client, addr).await);

        // Both authorities are trusted first, then the certificates change.
        fs::write(&server.ca, format!("{}{}", one.pem(), two.pem())).unwrap();
        actix_rt::time::sleep(ROTATION).await;
        let fresh = two.issue("client").unwrap();
        fs::write(&fresh.ca, format!("{}{}", one.pem(), two.pem())).unwrap();
        let next = two.issue("server").unwrap();
        fs::copy(&next.cert, &server.cert).unwrap();
        fs::copy(&next.key, &server.key).unwrap();
        fs::write(&client.ca, format!("{}{}", one.pem(), two.pem())).unwrap();
        let mut failed = 0;
        for _ in 0..30 {
            failed += usize::from(!answered(&client, addr).await);
            failed += usize::from(!answered(&fresh, addr).await);
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(failed, 0);
        assert_eq!(metrics.counters().get("keys.rotated"), Some(&2));
    });
}

#[rstest]
#[case::unknown_authority(false)]
#[case::expired(true)]
fn a_wrong_key_gets_no_answer(#[case] expired: bool) {
    actix_rt::System::new().block_on(async {
        let host = 2 + u8::from(expired);
        let (own, other) = (Dir::new(&format!("own{host}")), Dir::new(&format!("other{host}")));
        let authority = Authority::create(&own.0).unwrap();
        let server = authority.issue("server").unwrap();
        let addr: SocketAddr = ([127, 50, 0, host], 7400).into();
        let _serving = serve(&server, addr);
        let mut wrong = if expired {
            authority.issue_expired("client").unwrap()
        } else {
            Authority::create(&other.0).unwrap().issue("client").unwrap()
        };
        wrong.ca = server.ca.clone();
        assert!(!answered(&wrong, addr).await);
        assert!(answered(&authority.issue("good").unwrap(), addr).await);
    });
}

#[rstest]
fn keys_that_cannot_be_read_leave_the_old_ones_in_force() {
    actix_rt::System::new().block_on(async {
        let dir = Dir::new("broken");
        let authority = Authority::create(&dir.0).unwrap();
        let (server, client) = (authority.issue("server").unwrap(), authority.issue("c").unwrap());
        let addr: SocketAddr = ([127, 50, 0, 4], 7400).into();
        let (_tls, metrics) = serve(&server, addr);
        fs::write(&server.cert, "not a certificate").unwrap();
        actix_rt::time::sleep(ROTATION).await;
        assert!(answered(&client, addr).await);
        assert_eq!(metrics.counters().get("keys.refused"), Some(&1));
    });
}
