//! Fetch a configuration that peers have in force and omit from their copies of the store.

use std::cell::Cell;
use std::net::SocketAddr;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use http::Request;
use http::StatusCode;
use oleanderpass_gateway::configuration_source::Choice;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::READER_CHECK_INTERVAL;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_platform::store::CONFIGURATION_KEY;
use oleanderpass_platform::store::Item;

use crate::body::RequestBody;
use crate::clock::sleep_until;
use crate::connection;
use crate::instance::SharedInstance;
use crate::internal_http::CONFIGURATION_COPY_PATH;
use crate::internal_http::STORE_POSITION;
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
        Ok(Some(item)) => {
            let position = item.position;
            gateway.on_configuration_copy(now, item);
            tracing::info!(
                %peer,
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
) -> Result<Option<StoreItem>> {
    let mut connection = connection::open(&instance.memory, peer).await?;
    let version = {
        let gateway = instance.gateway.borrow();
        gateway.configuration().map_or(0, |c| c.version.get())
    };
    let req = Request::get(format!("{CONFIGURATION_COPY_PATH}?{version}"))
        .header(http::header::HOST, peer.to_string())
        .body(RequestBody::default())?;
    let answer = connection.send(req).await?;
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Ok(None),
        status => bail!("the answer is {status}"),
    }
    let position = answer.headers().get(STORE_POSITION);
    let position: StorePosition = position
        .ok_or_else(|| eyre!("the answer has no position"))?
        .to_str()?
        .parse()?;
    let body = answer.into_body();
    let (body, _share) = receive::document_of(transfer, body, &instance.memory).await?;
    let item = Item {
        key: CONFIGURATION_KEY.into(),
        revision: position.revision,
        value: Some(body),
    };
    Ok(Some(store::decode(position.era, item)))
}
