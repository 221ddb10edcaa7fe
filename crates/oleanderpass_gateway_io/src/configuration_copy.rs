//! Fetch a configuration that peers have in force and omit from their copies of the store.

use std::cell::Cell;
use std::net::SocketAddr;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use oleanderpass_gateway::configuration_encoding::Digest;
use oleanderpass_gateway::configuration_encoding::Encoding;
use oleanderpass_gateway::configuration_encoding::decoded_size;
use oleanderpass_gateway::configuration_source::Choice;
use oleanderpass_gateway::gateway::ConfigurationRequest;
use oleanderpass_gateway::store::EncodedConfiguration;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::READER_CHECK_INTERVAL;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_platform::store::CONFIGURATION_KEY;
use oleanderpass_platform::store::Item;
use oleanderpass_types::size::Bytes as Size;

use crate::body::RequestBody;
use crate::clock::sleep_until;
use crate::connection;
use crate::instance::SharedInstance;
use crate::internal_http::AVAILABLE_DICTIONARY;
use crate::internal_http::CONFIGURATION_COPY_PATH;
use crate::internal_http::DIGEST_ALGORITHM;
use crate::internal_http::STORE_POSITION;
use crate::internal_http::UNENCODED_DIGEST;
use crate::pieces::DECODED_FACTOR;
use crate::receive;
use crate::store;

/// Fetch newer configurations from peers until the process ends. The list of backend servers
/// doesn't wait for them.
pub(crate) async fn run(instance: SharedInstance) {
    loop {
        let now = instance.now();
        let choice = instance
            .gateway
            .borrow_mut()
            .choose_configuration_source(now);
        match choice {
            Choice::Ask(peer) => ask(&instance, peer).await,
            Choice::Wait(until) => sleep_until(until).await,
            Choice::Nothing => {
                tokio::select! {
                    () = instance.configuration_behind.notified() => {}
                    () = sleep_until(now + READER_CHECK_INTERVAL) => {}
                }
            }
        }
    }
}

/// A peer's configuration as it arrived and decoded.
struct Fetched {
    encoded: EncodedConfiguration,
    item: StoreItem,
}

/// Ask a peer for its configuration, and put it in force.
async fn ask(instance: &SharedInstance, peer: SocketAddr) {
    let transfer = Cell::new(Transfer::new(instance.now(), STALL_TIME));
    let result = receive::until_stalled(&transfer, fetch(instance, &transfer, peer))
        .await
        .wrap_err_with(|| format!("peer {peer}"))
        .flatten();
    let transfer = transfer.get();
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    let label = match result {
        Ok(Some(Fetched { encoded, item })) => {
            let position = item.position;
            gateway.on_configuration_copy(now, &encoded, item);
            tracing::info!(
                %peer,
                encoding = %encoded.encoding,
                store_era = position.era,
                store_revision = position.revision,
                received_bytes = transfer.received().get(),
                elapsed_ms = transfer.elapsed(now).get(),
                "took a peer's configuration"
            );
            "taken"
        }
        Ok(None) => {
            gateway.on_configuration_refused(now, peer);
            "refused"
        }
        Err(error) => {
            gateway.on_configuration_failed(now, peer);
            tracing::info!(
                error = format!("{error:#}"),
                received_bytes = transfer.received().get(),
                elapsed_ms = transfer.elapsed(now).get(),
                "could not fetch a configuration from a peer"
            );
            "failed"
        }
    };
    let counter = &instance.metrics.configuration_copies;
    counter.with_label_values(&[label]).inc();
}

/// Fetch a peer's configuration. Return `None` if the peer sends enough copies at the moment.
async fn fetch(
    instance: &SharedInstance,
    transfer: &Cell<Transfer>,
    peer: SocketAddr,
) -> Result<Option<Fetched>> {
    let mut connection = connection::open(&instance.memory, peer).await?;
    let wanted = instance.gateway.borrow().configuration_request();
    let answer = connection.send(encode_request(peer, wanted)?).await?;
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Ok(None),
        status => bail!("the answer is {status}"),
    }
    let headers = answer.headers();
    let position: StorePosition = text(headers, STORE_POSITION)?
        .ok_or_else(|| eyre!("the answer has no position"))?
        .parse()?;
    let encoding = match text(headers, CONTENT_ENCODING)? {
        Some(encoding) => encoding.parse()?,
        None => Encoding::Identity,
    };
    let digest = text(headers, UNENCODED_DIGEST)?;
    let digest = digest.and_then(|digest| digest.strip_prefix(DIGEST_ALGORITHM));
    let digest = digest.map(str::parse::<Digest>).transpose()?;
    let body = answer.into_body();
    let (body, mut share) = receive::document_of(transfer, body, &instance.memory).await?;
    let encoded = EncodedConfiguration {
        position,
        encoding,
        body,
        digest,
    };
    if encoding != Encoding::Identity {
        let size = decoded_size(encoding, &encoded.body)?.get();
        share.grow(Size::new(size.saturating_mul(DECODED_FACTOR)))?;
    }
    let value = instance
        .gateway
        .borrow_mut()
        .decode_configuration(&encoded)?;
    let item = Item {
        key: CONFIGURATION_KEY.into(),
        revision: position.revision,
        value: Some(value),
    };
    let item = store::decode(position.era, item);
    Ok(Some(Fetched { encoded, item }))
}

/// Return the value of a header as text.
fn text(headers: &HeaderMap, name: HeaderName) -> Result<Option<&str>> {
    let value = headers.get(&name);
    let value = value.map(HeaderValue::to_str).transpose();
    value.wrap_err_with(|| format!("header {name}"))
}

/// Encode the request for a peer's configuration.
fn encode_request(peer: SocketAddr, wanted: ConfigurationRequest) -> Result<Request<RequestBody>> {
    let mut req = Request::get(format!("{CONFIGURATION_COPY_PATH}?{}", wanted.version))
        .header(http::header::HOST, peer.to_string());
    let mut encodings = Vec::new();
    if wanted.accepted.zstd {
        encodings.push(Encoding::Zstd.to_string());
    }
    if let Some(dictionary) = wanted.accepted.dictionary {
        encodings.push(Encoding::Dcz.to_string());
        req = req.header(AVAILABLE_DICTIONARY, dictionary.to_string());
    }
    if !encodings.is_empty() {
        req = req.header(ACCEPT_ENCODING, encodings.join(", "));
    }
    Ok(req.body(RequestBody::default())?)
}
