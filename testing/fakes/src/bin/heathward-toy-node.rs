//! A toy storage node: keeps what is written in memory, and drops repeats of a keyed write for 2.5 s.
//!
//! `cargo run -p heathward-fakes --bin heathward-toy-node -- 127.0.0.1:9100`

use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

const REMEMBERED: Duration = Duration::from_millis(2500);

#[derive(Default)]
struct Store {
    /// By volume and piece of data: the last two parts of a path.
    data: HashMap<String, Bytes>,
    keys: HashMap<String, Instant>,
}

async fn answer(
    store: Arc<Mutex<Store>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
    let status = |status: StatusCode| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        Ok(response)
    };
    let Ok(body) = body.collect().await else { return status(StatusCode::BAD_REQUEST) };
    let name = head.uri.path().splitn(3, '/').last().unwrap_or("").to_owned();
    println!("{} {} {}", head.method, head.uri.path(), text("x-call-id"));
    let mut store = store.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    match head.method {
        Method::GET => {
            let data = store.data.get(&name).cloned().unwrap_or_default();
            Ok(Response::new(Full::new(data)))
        }
        Method::PUT => {
            let now = Instant::now();
            store.keys.retain(|_, at| now - *at < REMEMBERED);
            if store.keys.insert(text("idempotency-key"), now).is_none() {
                store.data.insert(name, body.to_bytes());
            }
            Ok(Response::new(Full::from("stored\n")))
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:9100".to_owned());
    let listener = TcpListener::bind(&address).await?;
    println!("toy node at {}", listener.local_addr()?);
    let store = Arc::new(Mutex::new(Store::default()));
    loop {
        let (stream, _) = listener.accept().await?;
        let store = store.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(store.clone(), request));
            // A scheduler that gives up breaks its connection off.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
