//! The platform's HTTP front, with actix-http: reads a request, asks the exchange, writes the answer.

use crate::back::http::{HttpJob, MOST_BODY};
use crate::back::{Job, Reply};
use crate::config::Config;
use crate::exchange::{Answer, Ask};
use crate::hub::Hub;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Time in which a client must bring a request's head once its first byte is due.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Time after which an idle client connection is closed. Clients keep theirs for a whole day's work, and a
/// close that crosses a request costs it a new connection.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// A request of which nothing has come for so long has stalled.
const STALLED: Duration = Duration::from_secs(1);

/// A client connection as its owner sees it.
#[derive(Debug)]
struct State {
    busy: Cell<bool>,
    touched: Cell<Instant>,
    buffered: Cell<bool>,
}

/// A client's socket that notes when it was last used.
#[derive(Debug)]
struct Tracked {
    stream: TcpStream,
    state: Rc<State>,
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.state.touched.set(Instant::now());
            self.state.buffered.set(true);
        }
        polled
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.state.touched.set(Instant::now());
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The open client connections.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, (Rc<State>, AbortHandle)>>,
    next: Cell<u64>,
}

impl Connections {
    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes up to `most` connections that carry nothing and have carried nothing for `idle`, the longest
    /// idle first.
    pub fn close_idle(&self, most: usize, idle: Duration) {
        let open = self.open.borrow();
        // Guards against waiting for a client that has stopped in the middle of a request.
        let resting = |state: &State| {
            let quiet = state.touched.get().elapsed();
            !state.busy.get() && quiet >= if state.buffered.get() { idle.max(STALLED) } else { idle }
        };
        let mut idle: Vec<_> = open.values().filter(|(state, _)| resting(state)).collect();
        idle.sort_by_key(|(state, _)| state.touched.get());
        idle.iter().take(most).for_each(|(_, task)| task.abort());
    }
}

/// The HTTP front of one program.
pub struct HttpFront {
    hub: Rc<Hub>,
    config: Rc<Config>,
    /// Its connections.
    pub connections: Connections,
    /// Answers close their connections.
    pub closing: Cell<bool>,
}

impl HttpFront {
    /// A front that asks this hub.
    pub fn new(hub: Rc<Hub>, config: Rc<Config>) -> Rc<HttpFront> {
        Rc::new(HttpFront { hub, config, connections: Connections::default(), closing: Cell::new(false) })
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let front = Rc::clone(&self);
        let service = fn_service(move |request: Request| {
            let front = Rc::clone(&front);
            async move { Ok::<_, Infallible>(front.respond(request).await) }
        });
        let factory = HttpService::<Tracked, _, _>::build()
            .keep_alive(KeepAlive::Timeout(IDLE_TIME))
            .client_request_timeout(HEAD_TIME)
            // Guards against waiting for clients that have gone: a half-closed connection is a closed one.
            .h1_allow_half_closed(false)
            .on_connect_ext(|io: &Tracked, data| {
                data.insert(Rc::clone(&io.state));
            })
            .h1(service);
        let handler = factory.new_service(()).await.map_err(|()| io::Error::other("no HTTP service"))?;
        let handler = Rc::new(handler);
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    // Out of descriptors, or a client that has gone again: neither ends the program.
                    eprintln!("accept: {error}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let state = State {
                busy: Cell::new(false),
                touched: Cell::new(Instant::now()),
                buffered: Cell::new(false),
            };
            let state = Rc::new(state);
            let tracked = Tracked { stream, state: Rc::clone(&state) };
            let number = self.connections.next.replace(self.connections.next.get() + 1);
            let (front, handler) = (Rc::clone(&self), Rc::clone(&handler));
            let entry = Entry { front, number };
            let task = actix_rt::spawn(async move {
                let _entry = entry;
                // A connection that ends in an error has told its client all that there is to tell.
                let _ = handler.call((tracked, Some(peer))).await;
            });
            self.connections.open.borrow_mut().insert(number, (state, task.abort_handle()));
        }
    }

    async fn respond(&self, mut request: Request) -> Response<BoxBody> {
        let state = request.conn_data::<Rc<State>>().map(Rc::clone);
        if let Some(state) = &state {
            state.busy.set(true);
        }
        let _busy = Busy(state);
        let mut response = self.answer(&mut request).await;
        if self.closing.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn answer(&self, request: &mut Request) -> Response<BoxBody> {
        if request.path() == "/healthz" && request.method() == Method::GET {
            return plain(StatusCode::OK, "ok");
        }
        let mut body = BytesMut::new();
        let mut payload = request.take_payload();
        while let Some(chunk) = payload.next().await {
            let Ok(chunk) = chunk else { return plain(StatusCode::BAD_REQUEST, "malformed body") };
            if body.len() + chunk.len() > MOST_BODY {
                let mut response = plain(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB");
                response.head_mut().set_connection_type(ConnectionType::Close);
                return response;
            }
            body.extend_from_slice(&chunk);
        }
        let (ask, job) = match self.read(request, body.freeze()) {
            Ok(read) => read,
            Err(what) => return plain(StatusCode::BAD_REQUEST, &what),
        };
        let Some(ticket) = self.hub.request(ask, Job::Http(job)) else {
            return refused(0.1);
        };
        match ticket.answer().await {
            Answer::Served(Reply::Http(body)) => {
                Response::build(StatusCode::OK).body(body).map_into_boxed_body()
            }
            Answer::Refused(wait) => refused(wait as f64 / 1e6),
            _ => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        }
    }

    /// Reads what a request asks for, or says in one line what is wrong with it.
    fn read(&self, request: &Request, body: Bytes) -> Result<(Ask, HttpJob), String> {
        let headers = request.headers();
        let id = text(headers, "Request-Id")?;
        let name = request.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.config.class(name).ok_or_else(|| format!("unknown class {name:?}"))?;
        let plan_name = text(headers, "X-Qos-Policy")?;
        let plan = self.config.plan(plan_name).ok_or_else(|| format!("unknown plan {plan_name:?}"))?;
        let chunk = text(headers, "X-Chunk")?;
        let key = hex(chunk).ok_or_else(|| format!("malformed X-Chunk {chunk:?}"))?;
        let left = text(headers, "Request-Timeout-Ms")?;
        let left_ms: u64 = left
            .parse()
            .ok()
            .filter(|left| (1..=3_600_000).contains(left))
            .ok_or_else(|| format!("malformed Request-Timeout-Ms {left:?}"))?;
        let placement = text(headers, "X-Placement")?;
        let spot = place(placement).ok_or_else(|| format!("malformed X-Placement {placement:?}"))?;
        let (volume, units, cell, hosts) = spot;
        let deadline = self.hub.clock().now() + left_ms * 1000;
        let ask = Ask { class, plan, key, deadline, volume, units, cell, hosts };
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let mut passed = vec![
            ("X-Qos-Policy", plan_name.to_owned()),
            ("X-Chunk", chunk.to_owned()),
            ("X-Placement", placement.to_owned()),
        ];
        for name in ["Client-Retry", "Content-Type"] {
            passed.extend(text(headers, name).ok().map(|value| (name, value.to_owned())));
        }
        let method = request.method().clone();
        Ok((ask, HttpJob { id: id.to_owned(), method, target, headers: passed, body }))
    }
}

/// A connection's place among the open ones, for as long as its task lives.
struct Entry {
    front: Rc<HttpFront>,
    number: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.front.connections.open.borrow_mut().remove(&self.number);
    }
}

/// Marks a connection as busy.
struct Busy(Option<Rc<State>>);

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(state) = &self.0 {
            state.busy.set(false);
            state.buffered.set(false);
            state.touched.set(Instant::now());
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, String> {
    let value = headers.get(name).ok_or_else(|| format!("{name} is missing"))?;
    value.to_str().map(str::trim).map_err(|_| format!("malformed {name}"))
}

fn hex(text: &str) -> Option<u64> {
    let digits = (1..=16).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits { u64::from_str_radix(text, 16).ok() } else { None }
}

/// Reads `volume=…,units=…,shard=…,hosts=…`.
fn place(text: &str) -> Option<(u64, f64, Option<u32>, f64)> {
    let (mut volume, mut units, mut shard, mut hosts) = (None, None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name.trim() {
            "volume" => volume = Some(hex(value.trim())?),
            "units" => units = value.trim().parse::<f64>().ok().filter(|units| (0.0..=1e9).contains(units)),
            "shard" => shard = value.trim().parse::<i64>().ok().filter(|shard| (-1..=65_535).contains(shard)),
            "hosts" => hosts = value.trim().parse::<f64>().ok().filter(|hosts| (0.0..=1e6).contains(hosts)),
            _ => {}
        }
    }
    Some((volume?, units?, u32::try_from(shard?).ok(), hosts?))
}

fn plain(status: StatusCode, line: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("Content-Type", "text/plain"))
        .body(format!("{line}\n"))
        .map_into_boxed_body()
}

fn refused(seconds: f64) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if seconds > 0.0 {
        response.insert_header(("Retry-After", format!("{seconds:.3}")));
    }
    response.body(Bytes::from_static(b"refused\n")).map_into_boxed_body()
}

/// Binds a listener on an address and no other.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
