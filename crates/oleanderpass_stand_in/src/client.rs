//! Call a server as a caller or an entry instance does.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use http::Request;
use http::Response;
use http::header;
use http::request::Builder;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// Send a request on a new connection and return the response once its head has arrived.
pub async fn send(
    addr: SocketAddr,
    req: Builder,
    body: impl Into<Bytes>,
) -> eyre::Result<Response<Incoming>> {
    let req = req
        .header(header::HOST, addr.to_string())
        .body(Full::new(body.into()))?;
    let stream = TcpStream::connect(addr)
        .await
        .wrap_err_with(|| format!("connect to {addr}"))?;
    // Otherwise Nagle's algorithm may delay the body of a request.
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    tokio::spawn(connection);
    sender
        .send_request(req)
        .await
        .wrap_err_with(|| format!("send a request to {addr}"))
}

/// Read the whole body of a response.
pub async fn read_body(resp: Response<Incoming>) -> eyre::Result<Bytes> {
    Ok(resp
        .into_body()
        .collect()
        .await
        .wrap_err("read the body of an answer")?
        .to_bytes())
}

/// Send a GET request and parse the response as JSON.
pub async fn get_json<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> eyre::Result<T> {
    let body = read_body(send(addr, Request::get(path), Bytes::new()).await?).await?;
    serde_json::from_slice(&body).wrap_err_with(|| format!("read {path} of {addr}"))
}

/// Send JSON in a POST request and parse the response as JSON.
pub async fn post_json<T: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    value: &impl Serialize,
) -> eyre::Result<T> {
    let body = serde_json::to_vec(value)?;
    let body = read_body(send(addr, Request::post(path), body).await?).await?;
    serde_json::from_slice(&body).wrap_err_with(|| format!("call {path} of {addr}"))
}

/// Split a response with server-sent events into its events.
pub struct SseReader {
    body: Incoming,
    /// Received bytes of events that aren't complete.
    buf: Vec<u8>,
}

impl SseReader {
    /// Read the events of a response.
    pub fn new(resp: Response<Incoming>) -> Self {
        Self {
            body: resp.into_body(),
            buf: Vec::new(),
        }
    }

    /// Return the data of the next event, skipping comments; `None` at the end of the response.
    pub async fn next(&mut self) -> eyre::Result<Option<String>> {
        loop {
            while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = self.buf.drain(..end + 2).collect();
                let event = String::from_utf8(event)?;
                if let Some(data) = event.lines().find_map(|line| line.strip_prefix("data:")) {
                    return Ok(Some(data.trim_start().to_owned()));
                }
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(frame) => {
                    if let Ok(data) = frame.wrap_err("read a stream")?.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
