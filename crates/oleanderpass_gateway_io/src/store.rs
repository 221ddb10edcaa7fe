//! Read and watch the platform's store.

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
use crate::node::Shared;
use crate::peer;

/// The time for which the store holds a call that waits for changes. A waiting call on a connection
/// that has gone silent is noticed after it; peers that are ahead notice it sooner.
const WATCH: Millis = Millis::new(8_000);

/// The same while no peer is in reach that could be ahead.
const WATCH_ALONE: Millis = Millis::new(1_000);

/// The time beyond [`WATCH`] for the answer.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

/// The time for the answer to a read.
const READ: Duration = Duration::from_millis(800);

/// The pause between a change and the next watch. Changes within it share a call.
const WATCH_PAUSE: Duration = Duration::from_millis(60);

/// The time for which a peer may be ahead before the watch counts as silent: the store tells all
/// watches at about the same time.
const BEHIND: Duration = Duration::from_millis(250);

/// The interval at which an instance checks whether it is to read the store itself.
const READER_CHECK: Duration = Duration::from_millis(300);

/// The first pause after a failed call; doubled with each failure.
const FIRST_PAUSE: Millis = Millis::new(100);

/// The longest pause after a failed call.
const LONGEST_PAUSE: Millis = Millis::new(800);

/// What was read from the store, as it was read.
#[derive(Debug, Default)]
pub(crate) struct Copy {
    revision: u64,
    items: IndexMap<SmolStr, (u64, Bytes)>,
    /// Removed items, the latest last.
    removed: VecDeque<(u64, SmolStr)>,
    /// Removals up to this revision are no longer kept.
    removed_from: u64,
}

/// The removals that are kept for peers. More in the time that a peer needs to ask mean that it reads
/// everything.
const MAX_REMOVED: usize = 256;

impl Copy {
    /// Encode what changed after a revision for a peer.
    pub(crate) fn encode(&self, after: u64) -> Bytes {
        let partial = after > 0 && after >= self.removed_from;
        let wanted = |revision: u64| !partial || revision > after;
        let held = self.items.iter().map(|(key, (revision, value))| StoreItem {
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
        let items = held.chain(removed).filter(|item| wanted(item.revision));
        let copy = StoreCopy {
            revision: self.revision,
            items: items.collect(),
            partial,
        };
        copy.encode_to_vec().into()
    }

    fn apply(&mut self, item: &Item) {
        let newer = self
            .items
            .get(&item.key)
            .is_none_or(|(held, _)| *held <= item.revision);
        match &item.value {
            Some(value) if newer => {
                self.items
                    .insert(item.key.clone(), (item.revision, value.clone()));
            }
            None if newer => {
                self.items.swap_remove(&item.key);
                self.removed.push_back((item.revision, item.key.clone()));
                if self.removed.len() > MAX_REMOVED
                    && let Some((revision, _)) = self.removed.pop_front()
                {
                    self.removed_from = revision;
                }
            }
            _ => {}
        }
    }
}

/// Read the store and watch it until the process ends.
pub(crate) async fn run(node: Shared) {
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    let mut revision = None;
    loop {
        if !lost && revision.is_some() && !node.gateway.borrow().is_reader(node.now()) {
            follow_peers(&node).await;
            // Peers were ahead of the last watch, or none reads the store any more.
            revision = Some(node.gateway.borrow().store_revision());
            continue;
        }
        let result = follow(&node, &mut revision, &mut lost, &mut pause).await;
        let Err(error) = result else {
            continue;
        };
        node.gateway.borrow_mut().set_reads_store(false);
        if !lost {
            lost = true;
            tracing::warn!(
                dependency = "store",
                error = format!("{error:#}"),
                store_revision = node.gateway.borrow().store_revision(),
                "a dependency was lost"
            );
        }
        if let Err(error) = copy_from_peer(&node).await {
            tracing::debug!(error = format!("{error:#}"), "no peer has a newer copy");
        }
        let half = pause.get() / 2;
        let wait = half + rand::rng().random_range(0..=half);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        pause = pause.saturating_mul(2).min(LONGEST_PAUSE);
    }
}

/// Learn changes from peers that read the store, as long as this instance isn't to read it itself.
async fn follow_peers(node: &Shared) {
    tracing::info!("peers read the store for this instance");
    node.gateway.borrow_mut().set_reads_store(false);
    while !node.gateway.borrow().is_reader(node.now()) {
        tokio::select! {
            () = node.store_behind.notified() => {}
            () = tokio::time::sleep(READER_CHECK) => {}
        }
        let behind = {
            let gateway = node.gateway.borrow();
            gateway.newest_peer_revision(node.now()) > gateway.store_revision()
        };
        if behind && let Err(error) = copy_from_peer(node).await {
            tracing::info!(error = format!("{error:#}"), "a peer gave no copy");
            tokio::time::sleep(Duration::from(FIRST_PAUSE)).await;
        }
    }
    tracing::info!("this instance reads the store");
}

/// Follow the store on one connection until a call fails or peers read it for this instance.
async fn follow(
    node: &Shared,
    revision: &mut Option<u64>,
    lost: &mut bool,
    pause: &mut Millis,
) -> Result<()> {
    let addr = node.settings.store_addr;
    let mut connection = connection::open(addr).await?;
    loop {
        // After an interruption the whole list is read, because entries may have lapsed meanwhile.
        let after = match *revision {
            Some(after) if !*lost => after,
            _ => read_all(node, &mut connection, *lost).await?,
        };
        if *lost {
            *lost = false;
            tracing::info!(
                dependency = "store",
                store_revision = after,
                "a dependency was regained"
            );
        }
        *pause = FIRST_PAUSE;
        *revision = Some(after);
        node.gateway.borrow_mut().set_reads_store(true);
        if !node.gateway.borrow().is_reader(node.now()) {
            return Ok(());
        }
        match watch(node, &mut connection, after).await? {
            Some(page) => {
                let news = !page.items.is_empty();
                for item in page.items {
                    apply(node, &item);
                }
                note_revision(node, page.revision);
                *revision = Some(page.revision.max(after));
                if news {
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            None => {
                tracing::info!(after, "the store has lost its history; reading everything");
                *revision = None;
            }
        }
    }
}

/// Read everything. Return the revision up to which nothing is missing.
async fn read_all(node: &Shared, connection: &mut Connection, returned: bool) -> Result<u64> {
    let mut list: Vec<(BackendServerId, u64, Option<Item>)> = Vec::new();
    let mut first_revision = None;
    let mut after: Option<SmolStr> = None;
    loop {
        let path = store::servers_path(after.as_deref());
        let (status, body) = call(node, connection, "list", &path, READ).await?;
        expect_ok(status)?;
        let page = store::decode_page(&body)?;
        // Pages are no snapshot: what changed after the first is read again by the watch.
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
    let (status, body) = call(node, connection, "configuration", &path, READ).await?;
    if status != StatusCode::NOT_FOUND {
        expect_ok(status)?;
        apply(node, &store::decode_item(&body)?);
    }
    if returned {
        node.gateway.borrow_mut().on_store_recovered(node.now());
    }
    replace_list(node, revision, &list);
    note_revision(node, revision);
    Ok(revision)
}

fn replace_list(node: &Shared, revision: u64, list: &[(BackendServerId, u64, Option<Item>)]) {
    let items = list.iter().filter_map(|(_, _, item)| item.as_ref());
    {
        let mut copy = node.copy.borrow_mut();
        let missing: Vec<SmolStr> = copy
            .items
            .iter()
            .filter(|(key, (held, _))| {
                *held <= revision && matches!(Subject::of(key), Subject::Server(_))
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
            (id.clone(), *at, value.and_then(|value| decode(id, value)))
        })
        .collect();
    node.gateway
        .borrow_mut()
        .on_list(node.now(), revision, decoded);
}

/// Wait for changes. Return `None` if the store has lost its history.
async fn watch(node: &Shared, connection: &mut Connection, after: u64) -> Result<Option<Page>> {
    let now = node.now();
    let alone = node
        .gateway
        .borrow()
        .fleet()
        .live_peers(now)
        .next()
        .is_none();
    let wait = if alone { WATCH_ALONE } else { WATCH };
    let path = store::changes_path(after, wait);
    let limit = Duration::from(wait) + WATCH_MARGIN;
    let calling = call(node, connection, "watch", &path, limit);
    let (status, body) = tokio::select! {
        answer = calling => answer?,
        () = behind(node) => bail!("peers have read newer changes; the watch is silent"),
    };
    if status.as_u16() == store::HISTORY_LOST {
        return Ok(None);
    }
    expect_ok(status)?;
    store::decode_page(&body).map(Some)
}

/// Return when peers have been ahead of this instance for [`BEHIND`].
async fn behind(node: &Shared) {
    loop {
        node.store_behind.notified().await;
        tokio::time::sleep(BEHIND).await;
        let gateway = node.gateway.borrow();
        if gateway.newest_peer_revision(node.now()) > gateway.store_revision() {
            return;
        }
    }
}

fn apply(node: &Shared, item: &Item) {
    node.copy.borrow_mut().apply(item);
    match (Subject::of(&item.key), &item.value) {
        (Subject::Configuration, Some(value)) => match configuration::decode(value) {
            Ok(config) => {
                node.gateway.borrow_mut().on_configuration(config);
            }
            Err(error) => tracing::error!(
                revision = item.revision,
                error = format!("{error:#}"),
                "a configuration can't be used"
            ),
        },
        (Subject::Configuration, None) => {
            tracing::error!(
                revision = item.revision,
                "the configuration was removed; kept"
            );
        }
        (Subject::Server(id), Some(value)) => {
            let read = decode(&id, value);
            let now = node.now();
            let mut gateway = node.gateway.borrow_mut();
            gateway.on_entry(now, id, item.revision, read);
        }
        (Subject::Server(id), None) => {
            let now = node.now();
            let mut gateway = node.gateway.borrow_mut();
            gateway.on_entry_removed(now, id, item.revision);
        }
        (Subject::Other, _) => {}
    }
}

fn decode(
    id: &BackendServerId,
    value: &[u8],
) -> Option<oleanderpass_gateway::backend::Announcement> {
    match announcement::decode(id, value) {
        Ok(announcement) => Some(announcement),
        Err(error) => {
            tracing::warn!(
                server = %id,
                error = format!("{error:#}"),
                "an entry of the list names no usable server"
            );
            None
        }
    }
}

fn note_revision(node: &Shared, revision: u64) {
    let mut copy = node.copy.borrow_mut();
    copy.revision = copy.revision.max(revision);
    node.gateway.borrow_mut().on_store_revision(revision);
}

/// Take what a peer has read, if it is newer.
async fn copy_from_peer(node: &Shared) -> Result<()> {
    let now = node.now();
    let source: Option<SocketAddr> = {
        let gateway = node.gateway.borrow();
        let held = gateway.store_revision();
        let started = gateway.configuration().is_some();
        let live = gateway.fleet().live_peers(now);
        live.filter(|(_, peer)| peer.store_revision > held || !started)
            .max_by_key(|(_, peer)| peer.store_revision)
            .map(|(_, peer)| peer.addr)
    };
    let Some(addr) = source else {
        return Ok(());
    };
    let after = if node.gateway.borrow().configuration().is_some() {
        node.gateway.borrow().store_revision()
    } else {
        0
    };
    let copy = peer::read_copy(addr, after).await?;
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
            Subject::Server(_) | Subject::Configuration | Subject::Other => apply(node, &item),
        }
    }
    if copy.revision > 0 {
        if !copy.partial {
            replace_list(node, copy.revision, &list);
        }
        note_revision(node, copy.revision);
        tracing::info!(peer = %addr, store_revision = copy.revision, "took a peer's copy of the store");
    }
    Ok(())
}

async fn call(
    node: &Shared,
    connection: &mut Connection,
    name: &str,
    path: &str,
    limit: Duration,
) -> Result<(StatusCode, Bytes)> {
    let exchange = async {
        let req = Request::get(path)
            .header(http::header::HOST, node.settings.store_addr.to_string())
            .body(Full::new(Bytes::new()))?;
        connection.sender.ready().await.wrap_err("the connection")?;
        let answer = connection.sender.send_request(req).await?;
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        eyre::Ok((status, body))
    };
    let result = tokio::time::timeout(limit, exchange)
        .await
        .wrap_err_with(|| format!("{name}: timeout"))
        .and_then(|result| result.wrap_err_with(|| name.to_owned()));
    let label = match &result {
        Ok((status, _)) => status.as_u16().to_string(),
        Err(_) => "failed".to_owned(),
    };
    node.metrics
        .store_calls
        .with_label_values(&[name, &label])
        .inc();
    result
}

fn expect_ok(status: StatusCode) -> Result<()> {
    if status.is_success() {
        Ok(())
    } else {
        bail!("the store answered {status}")
    }
}
