//! Read the platform's store and watch it for changes, or fetch changes from peers that do.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use indexmap::IndexMap;
use oleanderpass_platform::announcement;
use oleanderpass_platform::configuration;
use oleanderpass_platform::store;
use oleanderpass_platform::store::Item;
use oleanderpass_platform::store::Page;
use oleanderpass_platform::store::Subject;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_proto::peer::StoreItem;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use prost::Message;
use rand::RngExt;
use smol_str::SmolStr;

use crate::connection;
use crate::connection::Connection;
use crate::instance::SharedInstance;
use crate::peer;

/// How long the store keeps a watch call waiting for changes. If the connection has gone silent,
/// the call fails only after this time, or earlier if peers have read newer changes.
const WATCH_WAIT: Millis = Millis::new(8_000);

/// The same as [`WATCH_WAIT`] while there is no live peer that could have read newer changes.
const WATCH_WAIT_ALONE: Millis = Millis::new(1_000);

/// How much longer than its wait a watch call may take before it times out.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// The timeout for a read call.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay between a change and the next watch. Changes within it are returned by one call.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(60);

/// How long a peer may be ahead before this instance's watch counts as silent. The store answers
/// all watches at about the same time.
const BEHIND_GRACE: Duration = Duration::from_millis(250);

/// The interval at which an instance checks whether it has to read the store itself.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The backoff after the first failure. It doubles with each further one.
const MIN_BACKOFF: Millis = Millis::new(100);

/// The longest backoff.
const MAX_BACKOFF: Millis = Millis::new(800);

/// A copy of the items of the store, undecoded. Peers fetch changes from it.
#[derive(Debug, Default)]
pub(crate) struct LocalCopy {
    /// The revision up to which nothing is missing.
    revision: u64,
    /// Each item's revision and value, by key.
    items: IndexMap<SmolStr, (u64, Bytes)>,
    /// The revisions and keys of removed items, the latest removal last.
    removed: VecDeque<(u64, SmolStr)>,
    /// Removals up to this revision may be missing from `removed`; all later ones are there.
    removals_complete_after: u64,
}

/// The most removals that are kept for peers. A peer that misses more of them gets a copy of
/// everything.
const MAX_REMOVALS: usize = 256;

impl LocalCopy {
    /// Encode what changed after a revision, for a peer. Encode everything if `after` is 0 or
    /// removals since then are no longer kept.
    pub(crate) fn encode(&self, after: u64) -> Bytes {
        let partial = after > 0 && after >= self.removals_complete_after;
        let wanted = |revision: u64| !partial || revision > after;
        let present = self.items.iter().map(|(key, (revision, value))| StoreItem {
            key: key.to_string(),
            revision: *revision,
            value: value.to_vec(),
            removed: false,
        });
        let removed = self.removed.iter().map(|(revision, key)| StoreItem {
            key: key.to_string(),
            revision: *revision,
            value: Vec::new(),
            removed: true,
        });
        let items = present.chain(removed).filter(|item| wanted(item.revision));
        let copy = StoreCopy {
            revision: self.revision,
            items: items.collect(),
            partial,
        };
        copy.encode_to_vec().into()
    }

    /// Apply a change, unless a newer one of the same item was applied before.
    fn apply(&mut self, item: &Item) {
        let newer = self
            .items
            .get(&item.key)
            .is_none_or(|(current, _)| *current <= item.revision);
        match &item.value {
            Some(value) if newer => {
                self.items
                    .insert(item.key.clone(), (item.revision, value.clone()));
            }
            None if newer => {
                self.items.swap_remove(&item.key);
                self.removed.push_back((item.revision, item.key.clone()));
                if self.removed.len() > MAX_REMOVALS
                    && let Some((revision, _)) = self.removed.pop_front()
                {
                    self.removals_complete_after = revision;
                }
            }
            _ => {}
        }
    }
}

/// Keep the configuration and the list of backend servers up to date until the process ends: from
/// the store, or from peers if enough of them in this availability zone read it.
pub(crate) async fn run(instance: SharedInstance) {
    let mut backoff = MIN_BACKOFF;
    let mut store_lost = false;
    let mut revision = None;
    loop {
        if !store_lost && revision.is_some() && !instance.gateway.borrow().is_reader(instance.now())
        {
            follow_peers(&instance).await;
            // Too few peers read the store now, or none. Their copies may be newer than the last
            // watch of this instance, so it continues after the newest copy.
            revision = Some(instance.gateway.borrow().store_revision());
            continue;
        }
        let result = follow_store(&instance, &mut revision, &mut store_lost, &mut backoff).await;
        let Err(error) = result else {
            continue;
        };
        instance.gateway.borrow_mut().set_reads_store(false);
        if !store_lost {
            store_lost = true;
            tracing::warn!(
                dependency = "store",
                error = format!("{error:#}"),
                store_revision = instance.gateway.borrow().store_revision(),
                "a dependency was lost"
            );
        }
        if let Err(error) = copy_from_peer(&instance).await {
            tracing::debug!(
                error = format!("{error:#}"),
                "could not fetch a copy of the store from a peer"
            );
        }
        let half = backoff.get() / 2;
        let wait = half + rand::rng().random_range(0..=half);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        backoff = backoff.saturating_mul(2).min(MAX_BACKOFF);
    }
}

/// Fetch changes from peers that read the store, until this instance has to read it itself.
async fn follow_peers(instance: &SharedInstance) {
    tracing::info!("peers read the store for this instance");
    instance.gateway.borrow_mut().set_reads_store(false);
    while !instance.gateway.borrow().is_reader(instance.now()) {
        tokio::select! {
            () = instance.store_behind.notified() => {}
            () = tokio::time::sleep(READER_CHECK_INTERVAL) => {}
        }
        let behind = {
            let gateway = instance.gateway.borrow();
            gateway.newest_peer_revision(instance.now()) > gateway.store_revision()
        };
        if behind && let Err(error) = copy_from_peer(instance).await {
            tracing::info!(
                error = format!("{error:#}"),
                "could not fetch a copy of the store from a peer"
            );
            tokio::time::sleep(Duration::from(MIN_BACKOFF)).await;
        }
    }
    tracing::info!("this instance reads the store");
}

/// Read the store and watch it on one connection until a call fails or peers read the store for
/// this instance. The caller's `revision`, `store_lost` and `backoff` are updated on the way, so
/// that they are right after an error as well.
async fn follow_store(
    instance: &SharedInstance,
    revision: &mut Option<u64>,
    store_lost: &mut bool,
    backoff: &mut Millis,
) -> Result<()> {
    let addr = instance.settings.store_addr;
    let mut connection = connection::open(addr).await?;
    loop {
        // After an outage, the whole list is read, because entries may have expired in the
        // meantime.
        let after = match *revision {
            Some(after) if !*store_lost => after,
            _ => read_all(instance, &mut connection, *store_lost).await?,
        };
        if *store_lost {
            *store_lost = false;
            tracing::info!(
                dependency = "store",
                store_revision = after,
                "a dependency was regained"
            );
        }
        *backoff = MIN_BACKOFF;
        *revision = Some(after);
        instance.gateway.borrow_mut().set_reads_store(true);
        if !instance.gateway.borrow().is_reader(instance.now()) {
            return Ok(());
        }
        match watch(instance, &mut connection, after).await? {
            Some(page) => {
                let has_changes = !page.items.is_empty();
                for item in page.items {
                    apply_item(instance, &item);
                }
                record_revision(instance, page.revision);
                *revision = Some(page.revision.max(after));
                if has_changes {
                    tokio::time::sleep(WATCH_BATCH_DELAY).await;
                }
            }
            None => {
                tracing::info!(
                    after,
                    "the store no longer has the history after this revision; reading everything"
                );
                *revision = None;
            }
        }
    }
}

/// Read everything and apply it. Return the revision up to which nothing is missing. `recovered`
/// tells that the store answers again after an outage.
async fn read_all(
    instance: &SharedInstance,
    connection: &mut Connection,
    recovered: bool,
) -> Result<u64> {
    let mut list: Vec<(BackendServerId, u64, Option<Item>)> = Vec::new();
    let mut first_revision = None;
    let mut after: Option<SmolStr> = None;
    loop {
        let path = store::servers_path(after.as_deref());
        let (status, body) = call_store(instance, connection, "list", &path, READ_TIMEOUT).await?;
        check_status(status)?;
        let page = store::decode_page(&body)?;
        // The pages together are not a snapshot. The watch starts at the revision of the first
        // page, and so returns what changed while the others were read.
        first_revision.get_or_insert(page.revision);
        after = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            if let Subject::Server(id) = Subject::of(&item.key) {
                list.push((id, item.revision, Some(item)));
            }
        }
        if !page.more || after.is_none() {
            break;
        }
    }
    let revision = first_revision.unwrap_or(0);
    let path = store::configuration_path();
    let (status, body) =
        call_store(instance, connection, "configuration", &path, READ_TIMEOUT).await?;
    if status != StatusCode::NOT_FOUND {
        check_status(status)?;
        apply_item(instance, &store::decode_item(&body)?);
    }
    if recovered {
        instance
            .gateway
            .borrow_mut()
            .on_store_recovered(instance.now());
    }
    replace_servers(instance, revision, &list);
    record_revision(instance, revision);
    Ok(revision)
}

/// Replace all backend servers by a list that was read at `revision`.
fn replace_servers(
    instance: &SharedInstance,
    revision: u64,
    list: &[(BackendServerId, u64, Option<Item>)],
) {
    let items = list.iter().filter_map(|(_, _, item)| item.as_ref());
    {
        let mut copy = instance.store_copy.borrow_mut();
        let missing: Vec<SmolStr> = copy
            .items
            .iter()
            .filter(|(key, (last_change, _))| {
                *last_change <= revision && matches!(Subject::of(key), Subject::Server(_))
            })
            .filter(|(key, _)| items.clone().all(|item| item.key != **key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            let value = None;
            copy.apply(&Item {
                key,
                revision,
                value,
            });
        }
        items.for_each(|item| copy.apply(item));
    }
    let decoded = list
        .iter()
        .map(|(id, at, item)| {
            let value = item.as_ref().and_then(|item| item.value.as_ref());
            (
                id.clone(),
                *at,
                value.and_then(|value| decode_server(id, value)),
            )
        })
        .collect();
    instance
        .gateway
        .borrow_mut()
        .on_list(instance.now(), revision, decoded);
}

/// Wait for changes after a revision. Return `None` if the store no longer has the history since
/// then.
async fn watch(
    instance: &SharedInstance,
    connection: &mut Connection,
    after: u64,
) -> Result<Option<Page>> {
    let now = instance.now();
    let alone = instance
        .gateway
        .borrow()
        .fleet()
        .live_peers(now)
        .next()
        .is_none();
    let wait = if alone { WATCH_WAIT_ALONE } else { WATCH_WAIT };
    let path = store::changes_path(after, wait);
    let timeout = Duration::from(wait) + WATCH_MARGIN;
    let answered = call_store(instance, connection, "watch", &path, timeout);
    let (status, body) = tokio::select! {
        answer = answered => answer?,
        () = until_behind(instance) => bail!("peers have read newer changes; the watch is silent"),
    };
    if status.as_u16() == store::HISTORY_LOST {
        return Ok(None);
    }
    check_status(status)?;
    store::decode_page(&body).map(Some)
}

/// Wait until peers have been ahead of this instance for [`BEHIND_GRACE`].
async fn until_behind(instance: &SharedInstance) {
    loop {
        instance.store_behind.notified().await;
        tokio::time::sleep(BEHIND_GRACE).await;
        let gateway = instance.gateway.borrow();
        if gateway.newest_peer_revision(instance.now()) > gateway.store_revision() {
            return;
        }
    }
}

/// Apply a changed or removed item. The last valid configuration stays in force if the new one is
/// invalid or the item was removed.
fn apply_item(instance: &SharedInstance, item: &Item) {
    instance.store_copy.borrow_mut().apply(item);
    match (Subject::of(&item.key), &item.value) {
        (Subject::Configuration, Some(value)) => match configuration::decode(value) {
            Ok(config) => {
                instance.gateway.borrow_mut().on_configuration(config);
            }
            Err(error) => tracing::error!(
                revision = item.revision,
                error = format!("{error:#}"),
                "a configuration is invalid"
            ),
        },
        (Subject::Configuration, None) => {
            tracing::error!(
                revision = item.revision,
                "the configuration was removed from the store; the last one stays in force"
            );
        }
        (Subject::Server(id), Some(value)) => {
            let entry = decode_server(&id, value);
            let now = instance.now();
            let mut gateway = instance.gateway.borrow_mut();
            gateway.on_entry(now, id, item.revision, entry);
        }
        (Subject::Server(id), None) => {
            let now = instance.now();
            let mut gateway = instance.gateway.borrow_mut();
            gateway.on_entry_removed(now, id, item.revision);
        }
        (Subject::Other, _) => {}
    }
}

/// Decode the entry of a backend server. Return `None` if it is invalid.
fn decode_server(
    id: &BackendServerId,
    value: &[u8],
) -> Option<oleanderpass_gateway::backend::Announcement> {
    match announcement::decode(id, value) {
        Ok(announcement) => Some(announcement),
        Err(error) => {
            tracing::warn!(
                server = %id,
                error = format!("{error:#}"),
                "the entry of a backend server is invalid"
            );
            None
        }
    }
}

/// Record that all changes up to a revision have been read.
fn record_revision(instance: &SharedInstance, revision: u64) {
    let mut copy = instance.store_copy.borrow_mut();
    copy.revision = copy.revision.max(revision);
    instance.gateway.borrow_mut().on_store_revision(revision);
}

/// Fetch and apply the copy of the store of the live peer with the newest one, if that is newer
/// than this instance's. Without a configuration, any live peer's copy will do.
async fn copy_from_peer(instance: &SharedInstance) -> Result<()> {
    let now = instance.now();
    let source: Option<SocketAddr> = {
        let gateway = instance.gateway.borrow();
        let own_revision = gateway.store_revision();
        let has_configuration = gateway.configuration().is_some();
        let live = gateway.fleet().live_peers(now);
        live.filter(|(_, peer)| peer.store_revision > own_revision || !has_configuration)
            .max_by_key(|(_, peer)| peer.store_revision)
            .map(|(_, peer)| peer.addr)
    };
    let Some(addr) = source else {
        return Ok(());
    };
    let after = if instance.gateway.borrow().configuration().is_some() {
        instance.gateway.borrow().store_revision()
    } else {
        0
    };
    let copy = peer::fetch_copy(addr, after).await?;
    let mut list = Vec::new();
    for raw in copy.items {
        let item = Item {
            key: raw.key.into(),
            revision: raw.revision,
            value: (!raw.removed).then(|| raw.value.into()),
        };
        match Subject::of(&item.key) {
            Subject::Server(id) if !copy.partial && item.value.is_some() => {
                list.push((id, item.revision, Some(item)));
            }
            Subject::Server(_) if !copy.partial => {}
            Subject::Server(_) | Subject::Configuration | Subject::Other => {
                apply_item(instance, &item)
            }
        }
    }
    if copy.revision > 0 {
        if !copy.partial {
            replace_servers(instance, copy.revision, &list);
        }
        record_revision(instance, copy.revision);
        tracing::info!(peer = %addr, store_revision = copy.revision, "took a peer's copy of the store");
    }
    Ok(())
}

/// Send a call to the store and count its result. Return the HTTP status and the body of the
/// answer.
async fn call_store(
    instance: &SharedInstance,
    connection: &mut Connection,
    name: &str,
    path: &str,
    timeout: Duration,
) -> Result<(StatusCode, Bytes)> {
    let exchange = async {
        let req = Request::get(path)
            .header(http::header::HOST, instance.settings.store_addr.to_string())
            .body(Full::new(Bytes::new()))?;
        connection
            .sender
            .ready()
            .await
            .wrap_err("the connection was closed")?;
        let answer = connection.sender.send_request(req).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        eyre::Ok((status, body))
    };
    let result = tokio::time::timeout(timeout, exchange)
        .await
        .wrap_err_with(|| format!("{name}: timeout"))
        .and_then(|result| result.wrap_err_with(|| name.to_owned()));
    let label = match &result {
        Ok((status, _)) => status.as_u16().to_string(),
        Err(_) => "failed".to_owned(),
    };
    instance
        .metrics
        .store_calls
        .with_label_values(&[name, &label])
        .inc();
    result
}

/// Return an error unless the status is a success.
fn check_status(status: StatusCode) -> Result<()> {
    if status.is_success() {
        Ok(())
    } else {
        bail!("the store answered {status}")
    }
}
