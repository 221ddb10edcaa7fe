//! Read the platform's store and watch it for changes, or fetch changes from peers that do.

use std::cell::Cell;
use std::time::Duration;

use oleanderpass_gateway::evacuation::PeerEvacuation;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_gateway::store::Content;
use oleanderpass_gateway::store::CopySource;
use oleanderpass_gateway::store::OmittedConfiguration;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader::READER_CHECK_INTERVAL;
use oleanderpass_gateway::store_reader::Step;
use oleanderpass_gateway::store_reader::StoreReader;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_platform::announcement;
use oleanderpass_platform::configuration;
use oleanderpass_platform::store;
use oleanderpass_platform::store::CONFIGURATION_KEY;
use oleanderpass_platform::store::Item;
use oleanderpass_platform::store::Subject;
use oleanderpass_proto::peer::Evacuation as RawEvacuation;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use rand::RngExt;

use crate::clock::sleep_until;
use crate::connection::Connection;
use crate::instance::SharedInstance;
use crate::peer;
use crate::receive;
use crate::store_call::Answered;
use crate::store_call::AnsweredContent;
use crate::store_call::CallKind;
use crate::store_call::Calls;

/// How long a peer may be ahead before this instance's watch counts as silent. The store answers
/// all watches at about the same time.
const BEHIND_GRACE: Duration = Duration::from_millis(250);

/// The pause after a peer's copy could not be fetched.
const COPY_PAUSE: Duration = Duration::from_millis(100);

/// Keep the configuration and the list of backend servers up to date until the process ends: from
/// the store, or from peers if enough of them in this availability zone read it.
pub(crate) async fn run(instance: SharedInstance) {
    let mut reader = StoreReader::default();
    let mut calls = Calls::default();
    let mut connection = None;
    loop {
        let step = reader.next(instance.now(), &mut instance.gateway.borrow_mut());
        if reader.follows_peers() {
            connection = None;
            calls.clear();
        }
        let kind = match step {
            Step::Copy(source) => {
                copy_from_peer(&instance, source).await;
                continue;
            }
            Step::Wait(until) => {
                tokio::select! {
                    () = instance.store_behind.notified() => {}
                    () = sleep_until(until) => {}
                    (began, answered) = calls.late_answer() => {
                        reader.set_answered_call(began);
                        connection = apply(&instance, &mut reader, answered);
                        calls.clear();
                    }
                }
                continue;
            }
            Step::ReadAll => CallKind::ReadAll,
            Step::Watch {
                after,
                wait,
                timeout,
            } => CallKind::Watch {
                path: store::changes_path(after.revision, wait),
                timeout,
            },
        };
        let is_watch = matches!(kind, CallKind::Watch { .. });
        let transfer = calls.begin(&instance, kind, connection.take());
        let failure = tokio::select! {
            result = calls.answer() => match result {
                Ok((began, answered)) => {
                    reader.set_answered_call(began);
                    connection = apply(&instance, &mut reader, answered);
                    calls.clear();
                    continue;
                }
                Err(error) => format!("{error:#}"),
            },
            () = receive::stalled(&transfer) => {
                let name = if is_watch { "watch" } else { "read_all" };
                let counter = &instance.metrics.store_calls;
                counter.with_label_values(&[name, "late"]).inc();
                "no answer in time; waiting for it".to_owned()
            }
            () = until_renewed(&instance, &reader), if is_watch => {
                // The next watch needs a connection of its own.
                calls.clear();
                continue;
            }
            () = until_behind(&instance, &transfer), if is_watch => {
                "peers have read newer changes; the watch is silent".to_owned()
            }
        };
        instance.on_store_error(&failure);
        calls.set_late(instance.now());
        reader.on_failure(
            instance.now(),
            &mut instance.gateway.borrow_mut(),
            &failure,
            rand::rng().random(),
        );
    }
}

/// Apply an answer of the store. Return the connection for the next call.
fn apply(
    instance: &SharedInstance,
    reader: &mut StoreReader,
    answered: Answered,
) -> Option<Connection> {
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    match answered.content {
        AnsweredContent::All {
            position,
            servers,
            operator_items,
        } => {
            note_unusable_configuration(instance, &operator_items);
            reader.on_read_all(now, &mut gateway, position, servers, operator_items);
        }
        AnsweredContent::Changes { position, items } => {
            if items.iter().any(|item| item.key == CONFIGURATION_KEY) {
                note_unusable_configuration(instance, &items);
            }
            reader.on_changes(now, &mut gateway, position, items);
        }
        AnsweredContent::HistoryLost => reader.on_history_lost(),
    }
    answered.connection
}

/// Record why none of these items provides a configuration, if none does.
fn note_unusable_configuration(instance: &SharedInstance, items: &[StoreItem]) {
    let item = items.iter().rfind(|item| item.key == CONFIGURATION_KEY);
    if item.is_some_and(|item| matches!(item.content, Content::Configuration(Some(_)))) {
        return;
    }
    let value = item.and_then(|item| item.value.as_deref());
    let invalid = value.and_then(|value| configuration::decode(value).err());
    let error = match invalid {
        Some(error) => format!("the configuration in the store is invalid: {error:#}"),
        None => format!("the store has no item {CONFIGURATION_KEY}"),
    };
    let mut readiness = instance.readiness.borrow_mut();
    readiness.set_error(Reason::NoConfiguration, &error);
}

/// Wait until the watch in flight has to be given up for a shorter one.
async fn until_renewed(instance: &SharedInstance, reader: &StoreReader) {
    while !reader.renews_watch(instance.now(), &instance.gateway.borrow()) {
        tokio::time::sleep(READER_CHECK_INTERVAL.into()).await;
    }
}

/// Wait until peers have been ahead of this instance for [`BEHIND_GRACE`] and the answer to its
/// watch has not begun. A large answer arrives later here than at peers with faster links.
async fn until_behind(instance: &SharedInstance, transfer: &Cell<Transfer>) {
    loop {
        instance.store_behind.notified().await;
        tokio::time::sleep(BEHIND_GRACE).await;
        if instance.gateway.borrow().is_behind(instance.now()) && !transfer.get().has_begun() {
            return;
        }
    }
}

/// Decode an item that was read in an era of the store. Log what is invalid.
pub(crate) fn decode(era: u64, item: Item) -> StoreItem {
    let content = match (Subject::of(&item.key), &item.value) {
        (Subject::Configuration, Some(value)) => match configuration::decode(value) {
            Ok(config) => Content::Configuration(Some(config)),
            Err(error) => {
                tracing::error!(
                    revision = item.revision,
                    error = format!("{error:#}"),
                    "a configuration is invalid"
                );
                Content::Configuration(None)
            }
        },
        (Subject::Configuration, None) => {
            tracing::error!(
                revision = item.revision,
                "the configuration was removed from the store; the last one stays in force"
            );
            Content::Configuration(None)
        }
        (Subject::Server(id), value) => {
            let entry = value.as_ref().and_then(|value| decode_server(&id, value));
            Content::Server(id, entry)
        }
        (Subject::Evacuation(zone), _) => Content::Evacuation(zone),
        (Subject::Other, _) => {
            if store::is_evacuation(&item.key) {
                tracing::warn!(
                    key = %item.key,
                    revision = item.revision,
                    "an evacuation names no availability zone"
                );
            }
            Content::Other
        }
    };
    StoreItem {
        key: item.key,
        position: StorePosition::new(era, item.revision),
        value: item.value,
        content,
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

/// Decode an evacuation that a peer knows, whose answer took `elapsed`. Return `None` if its key
/// names no availability zone.
fn decode_evacuation(raw: RawEvacuation, elapsed: Millis) -> Option<PeerEvacuation> {
    let Subject::Evacuation(zone) = Subject::of(&raw.key) else {
        tracing::warn!(
            key = raw.key,
            "a peer's evacuation names no availability zone"
        );
        return None;
    };
    let removal = StorePosition::new(raw.revoked_era, raw.revoked_revision);
    Some(PeerEvacuation {
        zone,
        key: raw.key.into(),
        write: StorePosition::new(raw.era, raw.revision),
        removal: raw.revoked.then_some(removal),
        age: raw.age_ms.map(|age| Millis::new(age) + elapsed),
        witnessed: raw.witnessed,
        earlier: raw.earlier_writes,
    })
}

/// Fetch and apply a peer's copy of the store. Pause if that fails.
async fn copy_from_peer(instance: &SharedInstance, source: CopySource) {
    let began = instance.now();
    let transfer = Cell::new(Transfer::new(began, STALL_TIME));
    let fetched = peer::fetch_copy(&instance.memory, &transfer, source.addr, source.after).await;
    let result = if fetched.is_ok() { "taken" } else { "failed" };
    let counter = &instance.metrics.peer_copies;
    counter.with_label_values(&[result]).inc();
    let transfer = transfer.get();
    let copy = match fetched {
        Ok(copy) => copy,
        Err(error) => {
            let error = format!("{error:#}");
            instance.on_store_error(&error);
            tracing::info!(
                error,
                received_bytes = transfer.received().get(),
                elapsed_ms = transfer.elapsed(instance.now()).get(),
                "could not fetch a copy of the store from a peer"
            );
            tokio::time::sleep(COPY_PAUSE).await;
            return;
        }
    };
    let position = StorePosition::new(copy.era, copy.revision);
    let omitted = copy.omitted.map(|raw| OmittedConfiguration {
        position: StorePosition::new(raw.era, raw.revision),
        version: raw.version,
    });
    let evacuations = copy.evacuations.map(|evacuations| {
        let entries = evacuations.entries.into_iter();
        let elapsed = instance.now().since(began);
        let entries = entries.filter_map(|raw| decode_evacuation(raw, elapsed));
        entries.collect::<Vec<PeerEvacuation>>()
    });
    let items = copy.items.into_iter().map(|raw| {
        let item = Item {
            key: raw.key.into(),
            revision: raw.revision,
            value: (!raw.removed).then(|| raw.value.into()),
        };
        decode(raw.era, item)
    });
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    if let Some(evacuations) = evacuations {
        gateway.on_peer_evacuations(now, position, &evacuations);
    }
    if let Some(omitted) = omitted {
        gateway.on_omitted_configuration(omitted);
    }
    gateway.on_peer_copy(now, position, copy.partial, items.collect());
    drop(gateway);
    instance.configuration_behind.notify_one();
    tracing::info!(
        peer = %source.addr,
        store_era = position.era,
        store_revision = position.revision,
        omitted_version = omitted.map(|omitted| omitted.version),
        received_bytes = transfer.received().get(),
        elapsed_ms = transfer.elapsed(now).get(),
        "took a peer's copy of the store"
    );
}
