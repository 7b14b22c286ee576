//! TLS towards callers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use fireflycroft::ConnectionLimits;
use fireflyd::frontend::{Frontend, Tls};
use fireflyd::metrics::Metrics;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_rustls::rustls::crypto::aws_lc_rs;
use tokio_rustls::rustls::pki_types::CertificateDer;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tokio_rustls::{TlsConnector, client};

/// Certificate of `entry.example`, and its key, which belong to no real host.
const CERT: &[u8] = include_bytes!("certificate/cert.pem");
const KEY: &[u8] = include_bytes!("certificate/key.pem");

/// Serves callers over TLS for as long as the sender lives.
fn serve() -> (SocketAddr, oneshot::Sender<()>) {
    let metrics = Metrics::new().unwrap();
    let callers = metrics.accounts("callers", ConnectionLimits::for_callers(None, None));
    let frontend = Frontend::new(mpsc::channel(1).0, metrics, callers);
    let tls = Tls {
        cert: CERT.to_vec(),
        key: KEY.to_vec(),
    };
    let (stop, stopped) = oneshot::channel();
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (addr, server) = frontend.bind(addr, Some(tls), stopped).unwrap();
    tokio::spawn(server);
    (addr, stop)
}

/// Connects a client that prefers HTTP/2.
async fn connect(addr: SocketAddr) -> client::TlsStream<TcpStream> {
    let mut roots = RootCertStore::empty();
    let cert = CertificateDer::from_pem_slice(CERT).unwrap();
    roots.add(cert).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(aws_lc_rs::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap();
    let mut config = config.with_root_certificates(roots).with_no_client_auth();
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    let connector = TlsConnector::from(Arc::new(config));
    let stream = TcpStream::connect(addr).await.unwrap();
    let name = "entry.example".try_into().unwrap();
    connector.connect(name, stream).await.unwrap()
}

#[tokio::test]
async fn client_that_prefers_http2_is_served_over_http1() {
    let (addr, _stop) = serve();
    let mut stream = connect(addr).await;
    assert_eq!(stream.get_ref().1.alpn_protocol(), Some(&b"http/1.1"[..]));
    let request = b"GET /nowhere HTTP/1.1\r\nhost: entry.example\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

#[tokio::test]
async fn client_that_sends_no_tls_is_closed() {
    let (addr, _stop) = serve();
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    // A reset is a close as well.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP/1.1"), "{answer:?}");
}
